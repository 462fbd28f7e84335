#!/usr/bin/env bash
# Measures the latency that entry and guard add, with real processes: compares
# direct calls to a backend server with calls through two daemons in the same
# run. Prints one line for each figure.
BUILD=$1
FOLDER=$(dirname "$0")
. "$FOLDER/../tests/lib.sh"
RATE=${RATE:-300}
DURATION_MS=${DURATION_MS:-10000}
BACKEND_ARGS[catalogue]="--service-us 0"
start_fleet "$FOLDER/../examples/lakeshore" returns-1 catalogue-3 2>/dev/null
KEY=bhk_ls1_example-secret-ls1
declare -A VALUE

# measure POLICY CALLER-ARGUMENTS...: prints one line for each quantile.
measure() {
	local policy=$1 measure value
	shift
	while IFS== read -r measure value; do
		VALUE[$policy-$measure]=$value
		echo "scenario=path deployment=lakeshore policy=$policy" \
			"measure=$measure value=$value unit=us"
	done < <("$BIN/fake_caller" --rate "$RATE" \
		--duration-ms "$DURATION_MS" --path /catalogue/x "$@" |
		grep '^latency_ok_us_p')
}

measure direct --target "${BACKEND_OF[catalogue-3]}"
measure through_daemons --target "${CALLER_OF[returns-1]}" --key "$KEY"
for quantile in p50 p99; do
	echo "scenario=path deployment=lakeshore policy=through_daemons" \
		"measure=added_latency_$quantile value=$((VALUE[through_daemons-latency_ok_us_$quantile] -
			VALUE[direct-latency_ok_us_$quantile])) unit=us"
done
