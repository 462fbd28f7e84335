#!/usr/bin/env bash
# The store is out of reach, and servers end. The address of one goes to a server
# of another service; another one starts again under a new id.
# Guards against requests that a server of another service runs, in the daemon
# that saw the change and in one that starts meanwhile, and against a restarted
# server that gets none until the store is back.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
# Shortest time after which an address may go to another service.
REUSE_AFTER_S=2
# Time within which a restarted server must be in use.
RESTART_S=3

# send_orders VM NAME COUNT: sends requests that may run once, one by one.
send_orders() {
	local n
	for n in $(seq "$3"); do
		curl -s -o /dev/null --max-time 4 -w '%{http_code}\n' -X POST \
			--data order -H "Host: a.example" \
			-H "Authorization: Bearer k1" -H "X-Deadline-Ms: 2000" \
			-H "X-Request-Id: $2-$n" \
			"http://$(ip_of "$1"):$CALLER_PORT/o/$2" \
			>>"$WORK/status-$2"
	done
}
count_runs() { # APP NAME
	cat "$WORK/$1.out" | grep -c "path=/o/$2"
}
has_lost_store() { # VM
	curl -sf "http://$(ip_of "$1"):$ADMIN_PORT/status" |
		grep -q '"platform_up": false'
}
# Requests go to the own failure domain first, where VM 2 is alone.
is_used() { # APP NAME
	send_orders 2 "$2" 6
	[ "$(count_runs "$1" "$2")" -gt 0 ]
}
# expect_only_front NAME: all requests were served, none by the new server.
expect_only_front() {
	expect "requests that a server of another service ran, $1" \
		"$(count_runs app-1-reused "$1")" 0
	expect "answers to them" "$(sort -u "$WORK/status-$1")" 200
}

start_store
put_config 00000003 '["k1"]' 1000
start_vms front front front back
curl -sf -X PUT "http://$STORE/test/mode?busy" >/dev/null
# The change ends all watches; the next calls are rejected.
put_config 00000005 '["k1"]' 1000
for m in 1 2 3; do
	wait_for 5 has_lost_store $m || fail "VM $m does not miss the store"
done

# The server was idle for longer than the reuse time.
sleep $((REUSE_AFTER_S + 1))
kill -KILL "${PID_OF[app-2]}"
sleep 0.5
start app-2-restarted "$BIN/fake_app" "$(ip_of 2):$APP_PORT" i-22 front
wait_for $RESTART_S is_used app-2-restarted used ||
	fail "a restarted server gets no requests within $RESTART_S s"
echo "ok   a restarted server is used while the store is out of reach"

kill -KILL "${PID_OF[app-1]}"
sleep "$REUSE_AFTER_S"
start app-1-reused "$BIN/fake_app" "$(ip_of 1):$APP_PORT" i-9 back
sleep 0.5
send_orders 3 seen 60
send_orders 1 at-its-vm 20
expect_only_front seen
expect_only_front at-its-vm

kill -KILL "${PID_OF[daemon-m1]}" "${PID_OF[daemon-m2]}"
wait "${PID_OF[daemon-m1]}" "${PID_OF[daemon-m2]}" 2>/dev/null
start_vm_daemon 1 front
start_vm_daemon 2 front
for m in 1 2; do
	wait_for 10 is_serving $m || fail "VM $m is not ready after 10 s"
done
sleep 0.5
send_orders 3 restarted 60
expect_only_front restarted

# The entry of the former server is kept for some time after the outage.
curl -sf -X DELETE "http://$STORE/test/item?key=servers/i-1" >/dev/null
curl -sf -X DELETE "http://$STORE/test/item?key=servers/i-2" >/dev/null
curl -sf -X PUT "http://$STORE/test/mode?up" >/dev/null
send_orders 3 back 60
expect_only_front back
put_server 2 i-22 front ready
put_server 1 i-9 back ready
wait_for $RESTART_S is_used app-2-restarted listed ||
	fail "the restarted server gets no requests after it is listed"
expect_only_front listed
