#!/usr/bin/env bash
# Searches the models in this folder with spin: every property of every model,
# then every seeded fault, which the named property must find.
set -euo pipefail
export LC_ALL=C

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
jobs_max=4		# searches at a time
mem_mb=2500		# memory bound of one search
depth=100000		# depth bound of one search
time_max=900		# seconds for one search; a busy machine gives it a fifth of a core

if ! command -v spin >/dev/null 2>&1; then
	echo "spec: spin is missing, installing Debian's package"
	as_root=
	[ "$(id -u)" -eq 0 ] || as_root=sudo
	if ! { $as_root apt-get update -q && $as_root apt-get install -y -q --no-install-recommends spin; } >&2; then
		echo "spec: FAIL: cannot install spin; install it with: apt-get install spin" >&2
		exit 2
	fi
fi
for tool in spin gcc timeout; do
	if ! command -v "$tool" >/dev/null 2>&1; then
		echo "spec: FAIL: $tool is missing" >&2
		exit 2
	fi
done

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# model | property | macros always set | what it says
# Property "cycle" searches PROP=8 (no monitor) for any cycle of the state graph.
properties() {
	grep -v '^#' <<'END'
owner|1||at most one send of a not-repeatable call
owner|2||"not run" is never answered for what ran or will run
owner|6||one owner an epoch, the one the log names
owner|7||each call ends once faults cease (end states)
owner|cycle||every run is finite, so end states are reached
lane|4||calls of a lane start in order, one at a time (lane held)
lane|4|FENCED|the same, going on behind an unknown outcome at a fencing target
lane|4|TIMED|the same, going on after a wait that outlasts earlier sends and runs
lane|7|TWO|both calls end once faults cease
lane|7|TWO FENCED|both calls end at a fencing target
lane|cycle|TWO|every run is finite, so end states are reached
lane|cycle|TWO FENCED|every run is finite at a fencing target
budget|3|MAXRES=1 MAXRESTART=0|spending within budget: duplicates, losses
budget|3|MAXRES=1 MAXFAULT=0|spending within budget: a restart
budget|3|MAXFAULT=0 MAXRESTART=0|spending within budget: two chunks an epoch
room|3||generated within the budget and the most of one turn: deaths, handovers, claims
room|3|N=2 MAXCLAIM=5 MAXHAND=2 MAXDIE=4|the same with more claims and deaths
turns|9||a turn whose caller saw its end is never called unknown
turns|10||a turn that can be named lies with all before it in one partition
votes|11||a voter's part of a limit counts in full for one coordinator at most
config|5||one accepted value a version, verdicts true
config|7||each operator hears a verdict once faults cease
config|cycle||every run is finite, so end states are reached
END
}

# model | property that must find it | macros | what is broken
faults() {
	grep -v '^#' <<'END'
owner|6|NO_READBACK_CLAIM|no read-back of the claim
owner|6|VOID_CLAIM|void Claim of a taken epoch accepted
owner|1|NO_READBACK_INTENT|no read-back of the Intent
owner|1|RETRY_SEND|second send after the target's reply was lost
owner|1|ABANDON_BY_CALL|Abandoned voids the call's other Intents
owner|2|NOTRUN_KEEPS_INTENT|"not run" while the Intent may be in the log, then sent
owner|2|NOTRUN_TO_RETRY|"not run" to a retry whose earlier delivery is open
owner|7|WAIT_REPLY|lost append reply waited for without reading
owner|cycle|ENDLESS_LOSS|appends lost without end (shows that the search for cycles finds one)
lane|4|GO_ON_UNKNOWN|next call sent behind an unknown outcome, target not fencing
lane|4|NO_WAIT|next call sent before its predecessor ended
lane|4|TIMED SHORT_WAIT|the wait outlasts earlier sends, not the runs of them
lane|4|FENCED REOPEN|call run again though a later Intent of the lane is in the log
lane|7|TWO WAIT_REPLY|lost append reply waited for without reading
budget|3|MAXRES=1 MAXRESTART=0 CHUNK_IGNORED|open chunk ignored on takeover
budget|3|MAXRES=1 MAXRESTART=0 VOID_RESERVE|void Reserve accepted by its writer
budget|3|MAXRES=1 MAXRESTART=0 SUCCESSOR_UNCOUNTED|successor without a chunk of its own
budget|3|MAXRES=1 MAXRESTART=0 SETTLED_EARLY|spending on after Settled
budget|3|MAXRES=1 MAXRESTART=0 SETTLED_FOR_BOTH|owner's Settled frees the successor's part
budget|3|MAXRES=1 MAXRESTART=0 SETTLED_TWICE|duplicate of Settled frees again
budget|3|MAXRES=1 MAXRESTART=0 HANDED_EARLY|successor handed a Reserve before it counts
budget|3|MAXRES=1 MAXFAULT=0 SUCCESSOR_BY_NAME|successor named by instance, not by process
room|3|NO_CHARGE|a program without a record counted as unused after a loss
room|3|MAXCLAIM=4 MAXDIE=3 NO_FENCE|the store takes appends of earlier epochs
room|3|NO_CONDITION|a claim of a partition that others wrote to since it was read
room|3|MAXCLAIM=4 STALE_EXACT|accounts handed over taken for exact behind another claim
room|3|ROOM_BEFORE_RECORD|room handed out before its record has landed
room|3|OWNER_GOES_ON|an owner goes on after it handed its accounts over
room|3|HANDED_TWICE|accounts handed to two instances
room|3|MAXCLAIM=4 MAXDIE=3 CEILING_TWICE|the most of two turns added after a loss
room|3|MAXCLAIM=4 MAXDIE=3 LOSS_NOT_COUNTED|each owner behind losses hands out the same slice
room|3|MAXCLAIM=4 MAXDIE=3 SLICES_BEYOND_A_RECORD_NOT_CHARGED|slices handed out beyond a record not counted
turns|9|END_EARLY|a turn ends before its record is durable
turns|9|PART_AS_WHOLE|a read that stops short of the end taken for a whole one
turns|9|HOME_ONLY|"unknown" after the reading of the program's own partition
turns|9|READ_BEFORE|"unknown" by a read that began before the question
turns|10|NO_CLOSURE|another program's turn kept without those before it
turns|10|STALE_KNOWN|a turn taken to be where it was, though it was dropped there since
turns|10|DROP_UNREAD|turns dropped without reading what continues them
turns|10|NO_MARGIN|turns dropped while one that continues them is on its way
votes|11|COUNT_FROM_REPLY|a vote counts from its arrival, not from the request
votes|11|LEND_TWICE|the voter does not look at its loan
votes|11|FRESH_IS_FULL|a vote of a voter that has just started counts in full
votes|11|ENDED_IF_SILENT|a coordinator that is not heard taken for ended
votes|11|RELEASE_FIRST|a coordinator that leaves tells so before it drops its vote
votes|11|LATE_VOTE|a coordinator that has left takes a vote that comes late
config|5|NO_READBACK|"accepted" on the append's reply
config|5|STALE_BASE|stale base accepted
config|5|LAST_COPY|verdict taken from a duplicate
config|5|RETRY_NEW_BASE|retry of a change with a fresh base
config|7|WAIT_REPLY|lost append reply waited for without reading
END
}

# Searches one model; leaves its summary in $work/$1: errors, states, depth, complete, reason.
search() {
	local id=$1 model=$2 prop=$3 macros=$4 dir flags=(-DSAFETY) run=() n=$3 m
	dir=$work/$id.d
	mkdir "$dir"
	cd "$dir"
	if [ "$prop" = cycle ]; then
		n=8 flags=(-DNP) run=(-l)
	fi
	local defs=("-DPROP=$n")
	for m in $macros; do defs+=("-D$m"); done
	if ! spin -a "${defs[@]}" "$here/$model.pml" >spin.out 2>&1 ||
		! gcc -O2 -w "${flags[@]}" "-DMEMLIM=$mem_mb" -o pan pan.c >>spin.out 2>&1; then
		echo "spec: $model $prop $macros does not build:" >&2
		tail -n 5 spin.out >&2
		echo "0 0 0 no build-failed" >"$work/$id"
		return 0
	fi
	local rc=0
	timeout "$time_max" ./pan "${run[@]}" "-m$depth" >pan.out 2>&1 || rc=$?
	local errors states reached complete=yes reason=none
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out | tail -1)
	reached=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' pan.out | tail -1)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out | tail -1)
	if [ "$rc" -ne 0 ] || [ -z "$errors" ] || grep -Eq 'max search depth too small|MEMLIM|Search not completed|out of memory' pan.out; then
		complete=no
	fi
	if grep -Eq '^pan:[0-9]+: assertion violated' pan.out; then
		reason=assertion
	elif grep -Eq '^pan:[0-9]+: invalid end state' pan.out; then
		reason=end-state
	elif grep -Eq '^pan:[0-9]+: non-progress cycle' pan.out; then
		reason=cycle
	elif [ "${errors:-0}" != 0 ]; then
		reason=$(grep -m1 '^pan:[0-9]*:' pan.out | tr ' ' '_' || echo other)
	fi
	echo "${errors:-none} ${states:-0} ${reached:-0} $complete $reason" >"$work/$id"
	rm -f pan pan.?
}

id=0
while IFS='|' read -r model prop macros _; do
	id=$((id + 1))
	while [ "$(jobs -rp | wc -l)" -ge "$jobs_max" ]; do wait -n; done
	search "$id" "$model" "$prop" "$macros" &
done < <(properties; faults)
wait

bad=0 held=0 broken=0 found=0 missed=0 id=0 total=0
while IFS='|' read -r model prop macros text; do
	id=$((id + 1))
	read -r errors states reached complete reason <"$work/$id"
	verdict=holds
	if [ "$errors" != 0 ]; then
		verdict="VIOLATED ($reason)"
	elif [ "$complete" != yes ]; then
		verdict="NOT SHOWN ($reason, search incomplete)"
	fi
	if [ "$verdict" = holds ]; then held=$((held + 1)); else broken=$((broken + 1)) bad=1; fi
	total=$((total + states))
	printf 'spec: %-7s property %-5s %-26s states %9s depth %5s complete %-3s %s: %s\n' \
		"$model" "$prop" "${macros:--}" "$states" "$reached" "$complete" "$verdict" "$text"
done < <(properties)
while IFS='|' read -r model prop macros text; do
	id=$((id + 1))
	read -r errors states reached complete reason <"$work/$id"
	# A process stuck outside its end label is what property 7 forbids; no other property may be met that way.
	if [ "$errors" != 0 ] && [ "$errors" != none ] &&
		{ [ "$reason" = assertion ] || { [ "$prop" = 7 ] && [ "$reason" = end-state ]; } ||
			{ [ "$prop" = cycle ] && [ "$reason" = cycle ]; }; }; then
		verdict="found by property $prop" found=$((found + 1))
	else
		verdict="NOT FOUND by property $prop ($reason, complete $complete)" missed=$((missed + 1)) bad=1
	fi
	printf 'spec: %-7s fault %-40s states %9s %s: %s\n' "$model" "$macros" "$states" "$verdict" "$text"
done < <(faults)

echo "spec: properties held $held, broken or not shown $broken; faults found $found, not found $missed; states $total; $SECONDS s"
exit "$bad"
