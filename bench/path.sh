#!/usr/bin/env bash
# Latency added by entry and guard over real processes: direct calls to a
# backend server against calls through two daemons, in the same run.
BUILD=$1
FOLDER=$(dirname "$0")
. "$FOLDER/../tests/lib.sh"
RATE=${RATE:-500}
DURATION_MS=${DURATION_MS:-10000}
BACKEND_ARGS[catalogue]="--service-us ${SERVICE_US:-1000}"
start_fleet "$FOLDER/../examples/lakeshore" 2>/dev/null
KEY=bhk_ls1_example-secret-ls1

# measure POLICY CALLER-ARGUMENTS...: prints one line a figure.
measure() {
	local policy=$1 line
	shift
	"$BIN/fake_caller" --rate "$RATE" --duration-ms "$DURATION_MS" "$@" \
		>"$WORK/caller.txt" 2>&1
	if [ -n "${VERBOSE:-}" ]; then cat "$WORK/caller.txt"; fi
	grep -hE 'p50|p99|latency|status' "$WORK/caller.txt" | head -20
	echo "policy=$policy"
}
measure direct --target "${BACKEND_OF[catalogue-1]}" --path /catalogue/x
measure through_daemons --target "${CALLER_OF[returns-1]}" \
	--path /catalogue/x --key "$KEY"
