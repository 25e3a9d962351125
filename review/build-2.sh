#!/bin/sh
# Builds the programs that the scripts of the second review start, besides the product.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/rig/...
