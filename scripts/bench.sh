#!/usr/bin/env bash
# Measures: the decisions with a virtual clock (bin/bench), then real processes
# beside stand-ins (bin/load). Quick by default, under four minutes; FULL=1 runs
# what docs/CAPACITY.md quotes, about half an hour. Arguments go to bin/bench,
# such as --workload chains --seeds 1 2 3.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
load() { "$bin/load" --instance "$bin/banyanglade" "$@"; }
title() { printf '\n== %s (load average %s)\n' "$1" "$(cut -d' ' -f1 /proc/loadavg)"; }

if [ -z "${FULL:-}" ] && [ $# -eq 0 ]; then
	set -- --seeds 1 --duration 60s
fi
title "decisions, virtual clock"
"$bin/bench" "$@"

if [ -z "${FULL:-}" ]; then
	title "overhead of the path"
	load --repeats 1 overhead --programs 10
	title "12 instances, quiet and one killed"
	load --instances 12 --duration 10s --load 4 scenario quiet kill
	title "cost of control"
	load --load 1 --duration 3s --repeats 1 cost 3 6 12
	exit
fi

title "overhead of the path"
load overhead
title "overhead of the path, 8 callers"
load overhead --callers 8 --programs 6
title "12 instances under faults"
load --instances 12 --duration 24s --load 5 --seeds 1 2 3 -- scenario
title "3 instances under faults"
load --instances 3 --duration 20s --load 4 --seeds 1 2 3 -- scenario quiet kill
title "cost of control by instances"
load --load 1 --duration 4s cost
title "cost of the membership list"
load --duration 4s list
title "cost of a call and of a token"
load tokens
title "changes of the settings"
load --instances 12 changes
title "programs and calls held"
load held
title "core"
go test -run '^$' -bench 'Call/programs=(100|371|1000)$|IdleTick|Token' -benchtime 2000x -count 3 ./internal/instance
go test -run '^$' -bench Memory -benchtime 1x -count 3 ./internal/instance
