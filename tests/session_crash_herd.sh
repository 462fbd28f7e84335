#!/usr/bin/env bash
# A request crashes each server that runs it and comes again, while all daemons
# of its service are killed at once, twice.
# Guards against a request that crashes three more servers after each kill, as
# only the daemons that were killed knew of it.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
# After the third crash, the request may reach as many servers.
LATE_CRASHES_MAX=3
SENDS=5
CRASHING=/o/slow/crashing

# Kills the server of a VM when it runs the request, and starts it again.
watch_server() { # VM
	local vm=$1 out=$WORK/app-$1.out pid=${PID_OF[app-$1]}
	while :; do
		until grep -q "path=$CRASHING" "$out"; do sleep 0.02; done
		kill -KILL "$pid"
		echo crash >>"$WORK/crashes"
		sleep 0.3
		: >"$out"
		"$BIN/fake_app" "$(ip_of "$vm"):$APP_PORT" "i-$vm" front \
			>>"$out" 2>/dev/null &
		pid=$!
		disown
		echo "$pid" >>"$WORK/pids"
	done
}
count_crashes() { cat "$WORK/crashes" 2>/dev/null | wc -l; }
# send_crashing COUNT: sends it at the VMs of the other service in turn.
send_crashing() {
	local n
	for n in $(seq "$1"); do
		curl -s -o /dev/null --max-time 4 -X POST --data body \
			-H "Host: a.example" -H "Authorization: Bearer k1" \
			-H "X-Deadline-Ms: 2000" -H "X-Request-Id: c$RANDOM$RANDOM" \
			"http://$(ip_of $((n % 3 + 4))):$CALLER_PORT$CRASHING"
		sleep 0.8
	done
}
is_used() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 4 -X POST \
		--data body -H "Host: a.example" -H "Authorization: Bearer k1" \
		-H "X-Deadline-Ms: 2000" -H "X-Request-Id: u$RANDOM$RANDOM" \
		"http://$(ip_of 4):$CALLER_PORT/o/other")" = 200 ]
}

start_store
put_config 00000003 '["k1"]' 1000
start_vms front front front back back back
for m in 1 2 3; do
	watch_server $m &
	PIDS+=($!)
	disown
done
send_crashing $SENDS
[ "$(count_crashes)" -ge 3 ] || fail "the request did not crash three servers"
for round in 1 2; do
	for m in 1 2 3; do kill -KILL "${PID_OF[daemon-m$m]}"; done
	for m in 1 2 3; do wait "${PID_OF[daemon-m$m]}" 2>/dev/null; done
	for m in 1 2 3; do start_vm_daemon $m front; done
	for m in 1 2 3; do
		wait_for 10 is_serving $m || fail "VM $m is not ready after 10 s"
	done
	sleep 1
	send_crashing $SENDS
done
while read -r pid; do PIDS+=("$pid"); done <"$WORK/pids"
late=$(($(count_crashes) - 3))
[ "$late" -le $LATE_CRASHES_MAX ] ||
	fail "the request crashed $late servers after it was convicted"
echo "ok   $late servers crashed after the request was convicted"
wait_for 5 is_used || fail "another request is not served afterwards"
echo "ok   another request is served afterwards"
