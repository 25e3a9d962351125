#!/usr/bin/env bash
# Formatting, vet and staticcheck over the whole module.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
	echo "gofmt would change:" >&2
	echo "$unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
echo "lint: gofmt, vet and staticcheck are clean"
