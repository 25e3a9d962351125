#!/usr/bin/env bash
# Soaks instances of two builds together: each instance that starts is, at random, of
# this tree or of an older commit, so both read what the other stored and sent.
#
#	scripts/compat.sh COMMIT [arguments of bin/soak]
#
# With PROOFS=1 the scenarios of docs/PROOFS.md run the same way; the arguments are
# then those of bin/proofs.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$1
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

mkdir "$work/source"
git archive "$commit" | tar -x -C "$work/source"
(cd "$work/source" && go build -o "$work/old" ./cmd/banyanglade)
go build -o "$work/new" ./cmd/banyanglade
go build -o bin/ ./cmd/soak ./cmd/proofs

cat >"$work/mixed" <<END
#!/usr/bin/env bash
if ((RANDOM % 2)); then build=old; else build=new; fi
echo "\$build" >>"$work/starts"
exec "$work/\$build" "\$@"
END
chmod +x "$work/mixed"

status=0
if [ -n "${PROOFS:-}" ]; then
	bin/proofs --instance "$work/mixed" "$@" || status=$?
else
	bin/soak --binary "$work/mixed" "$@" || status=$?
fi
echo "instances started: $(grep -c old "$work/starts") of $commit, $(grep -c new "$work/starts") of this tree"
exit "$status"
