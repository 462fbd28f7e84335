#!/usr/bin/env bash
# Requests with long work arrive until a stopping daemon has ended.
# Guards against requests that a stopping daemon takes late and breaks off when
# its time is over: each one that a server runs gets the server's answer, and
# each refusal of one that has not run says so at once.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
WORK_MS=1900 # the timeout of the route is 2 s
LOAD_MS=6000

# Sends an order every 100 ms, each by a process of its own. One of four has
# long work, so that the average says little about it.
send_orders() { # NAME VM PREFIX
	local n path
	for n in $(seq $((LOAD_MS / 100))); do
		path=$3x
		[ $((n % 4)) -ne 0 ] || path=$3slow/x
		curl -s -o /dev/null --max-time 5 -X POST -d body \
			-H "Host: a.example" -H "Authorization: Bearer k1" \
			-H "X-Deadline-Ms: 2000" -H "X-Request-Id: $1-$n" \
			-w "$1-$n %{http_code} %{time_total}\n" \
			"http://$(ip_of "$2"):$CALLER_PORT$path" >>"$WORK/$1.load" &
		LOADS+=($!)
		sleep 0.1
	done
}
# Prints the requests that a server has run and that got no answer of a server.
broken_off() { # NAME
	awk '$2 != 200 { print $1, $2, $3 }' "$WORK/$1.load" |
		while read -r id status seconds; do
			grep -hq "^run id=$id " "$WORK"/app-*.out &&
				echo "$id $status after $seconds s"
		done
}
# Prints the refusals that took longer than half a second.
late_refusals() { # NAME
	awk '$2 == 503 && $3 > 0.5' "$WORK/$1.load"
}
stop_during_orders() { # NAME VM_OF_ENTRY PREFIX VM_TO_STOP
	kill -TERM "${PID_OF[daemon-m$4]}"
	send_orders "$1" "$2" "$3"
	wait "${LOADS[@]}"
	LOADS=()
	wait "${PID_OF[daemon-m$4]}"
	expect "exit status of the daemon on VM $4" $? 0
	echo "$1: $(awk '{ n[$2]++ } END { for (s in n) print s, n[s] }' \
		"$WORK/$1.load" | sort | xargs)"
	expect "orders of $1 that ran and were broken off" "$(broken_off "$1")" ""
	expect "refusals of $1 that came late" "$(late_refusals "$1")" ""
	[ "$(awk '$2 == 200' "$WORK/$1.load" | wc -l)" -gt 5 ] ||
		fail "orders of $1: too few were served to show anything"
}

start_store
put_config 00000003 '["k1"]' 10000
start_vms front front back
for m in 1 2 3; do
	curl -sf "http://$(ip_of $m):$APP_PORT/test?slow_ms=$WORK_MS" >/dev/null
done
LOADS=()
stop_during_orders entry 1 /o/ 1
start_vm_daemon 1 front
wait_for 10 is_serving 1 || fail "VM 1 is not ready after 10 s"
# The only server of its service.
stop_during_orders guard 1 /i/ 3
