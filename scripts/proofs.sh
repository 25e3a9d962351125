#!/usr/bin/env bash
# Runs the failure scenarios and the recovery figures of docs/PROOFS.md against
# bin/banyanglade. Arguments go to cmd/proofs, such as --only kill-owner --seed 7.
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/proofs --instance bin/banyanglade "$@"
