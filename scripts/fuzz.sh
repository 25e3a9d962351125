#!/usr/bin/env bash
# Fuzzes each fuzz target for FUZZTIME (default 60s).
set -euo pipefail
cd "$(dirname "$0")/.."
grep -rlE '^func Fuzz' --include='*_test.go' internal platform | sort | while read -r file; do
	for target in $(grep -oE '^func Fuzz[A-Za-z0-9]+' "$file" | cut -d' ' -f2); do
		echo "== $target"
		go test -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZTIME:-60s}" "./$(dirname "$file")"
	done
done
