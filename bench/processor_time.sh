#!/usr/bin/env bash
# Measures the processor time of requests on loopback with real processes:
# processor_time.sh BUILD instructions|calls [CASE...]. Prints per request the
# instructions and allocations of a daemon by callgrind, or its system calls by
# strace. KEEP_LOGS keeps the profiles. Cases:
#   local    entry and guard of one daemon
#   entry    the entry of a request that another VM serves
#   guard    the guard of such a request
#   refused  a request with an unknown API key, refused by the entry
#   idle     a daemon without requests for five seconds, with links to others
BUILD=$1
MODE=$2
shift 2
[ $# -gt 0 ] || set -- local entry guard refused idle
FOLDER=$(dirname "$0")
. "$FOLDER/../tests/lib.sh"
. "$FOLDER/../tests/platform_lib.sh"
COUNT=${COUNT:-500}
CONNECTIONS=4
WARM=100
# Number of VMs; all but the first run the service of the remote requests.
FLEET=${FLEET:-2}
declare -A VM_OF=([local]=1 [entry]=1 [guard]=2 [refused]=1 [idle]=1)
declare -A PATH_OF=([local]=/b/x [entry]=/i/x [guard]=/i/x [refused]=/b/x
	[idle]=/i/x)
declare -A KEY_OF=([refused]=unknown)

# Runs the daemons named in PROFILED under the tool.
eval "$(declare -f start | sed '1s/start/start_plain/')"
start() {
	local name=$1
	shift
	if [ "$name" != "daemon-m$PROFILED" ]; then
		start_plain "$name" "$@"
	elif [ "$MODE" = instructions ]; then
		start_plain "$name" valgrind --tool=callgrind \
			--callgrind-out-file="$WORK/callgrind.%p" "$@"
	else
		start_plain "$name" strace -f -c -U calls,name -o "$WORK/calls" "$@"
	fi
}

load() { # CASE COUNT PREFIX
	perl "$FOLDER/kept_load.pl" "$(ip_of 1):$CALLER_PORT" $CONNECTIONS \
		"$2" "$3" "${PATH_OF[$1]}" \
		"Authorization: Bearer ${KEY_OF[$1]:-key1}" \
		"Accept: application/json" "User-Agent: kept-load/1"
}

run_load() { # CASE
	if [ "$1" = idle ]; then
		sleep 5
		echo "5 s"
	else
		load "$1" "$COUNT" measured
	fi
}

# Sums the calls of the allocation functions in a profile.
count_allocations() { # PROFILE
	perl -ne '$name{$1} = $2 if /^c?fn=\((\d+)\) (\S+)/;
		$id = $1 if /^cfn=\((\d+)\)/;
		$calls{$id} += $1 if /^calls=(\d+)/;
		END { $name{$_} =~ /^(malloc|calloc|realloc)$/ and
			$sum += $calls{$_} for keys %calls; print $sum }' "$1"
}

measure_instructions() { # CASE
	local pid=${PID_OF[daemon-m$PROFILED]} profile answers sum
	callgrind_control -z "$pid" >/dev/null
	answers=$(run_load "$1")
	callgrind_control -d "$pid" >/dev/null
	profile="$WORK/callgrind.$pid.1"
	wait_for 20 grep -qs '^totals:' "$profile" || fail "no profile"
	sleep 0.5
	sum=$(sed -n 's/^totals: //p' "$profile")
	echo "case=$1 instructions=$((sum / TOTAL))" \
		"allocations_x100=$(($(count_allocations "$profile") * 100 / TOTAL))" \
		"requests=$TOTAL answers: $answers"
	callgrind_annotate --auto=no --inclusive=no --threshold=90 "$profile" >"$WORK/$1.txt"
	callgrind_annotate --auto=no --inclusive=yes --threshold=100 "$profile" \
		>"$WORK/$1.inclusive.txt"
}

measure_calls() { # CASE
	local answers
	answers=$(run_load "$1")
	kill -INT "$(pgrep -P "${PID_OF[daemon-m$PROFILED]}")"
	wait_for 10 grep -qs ' total$' "$WORK/calls" || fail "no system calls"
	echo "case=$1 requests=$TOTAL answers: $answers"
	# The count includes the warm-up requests.
	awk -v n=$((TOTAL + CONNECTIONS * WARM)) '$1 + 0 > n / 20 {
		printf "case='"$1"' call=%s per_request=%.2f\n", $2, $1 / n }' \
		"$WORK/calls"
}

for case in "$@"; do
	PROFILED=${VM_OF[$case]}
	TOTAL=$((COUNT * CONNECTIONS))
	[ "$case" = idle ] && TOTAL=5
	start_store
	put_config 1 '["key1"]' 100000
	start_vms front $(yes back | head -n $((FLEET - 1)))
	load "$case" $WARM warm >/dev/null
	if [ "$MODE" = instructions ]; then
		measure_instructions "$case"
	else
		measure_calls "$case"
	fi
	for name in "${!PID_OF[@]}"; do
		kill -KILL "${PID_OF[$name]}" 2>/dev/null
	done
	wait >/dev/null 2>&1
	free_port; STORE=127.0.0.1:$PORT
done
[ -z "${KEEP_LOGS:-}" ] || cp "$WORK"/*.txt "$KEEP_LOGS"
