#!/usr/bin/env bash
# A server that becomes cold while running, which the platform's store does not
# report, gets no more requests than a cold server can handle. Guards against a
# guard that detects cold servers from the store alone: the store was
# unavailable when the servers of an evacuated failure domain became cold.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
KEY="Authorization: Bearer k1"
# Requests allowed in one second: 1.5 times the configured cold_per_s of 16,
# plus 5; the users' platform sets this tolerance.
ALLOWED=29

start_store
start app-1 "$BIN/fake_app" "$(ip_of 1):$APP_PORT" i-1 front
start app-2 "$BIN/fake_app" "$(ip_of 2):$APP_PORT" i-2 back
put_config 00000003 '["k1"]' 1000
put_server 1 i-1 front ready
put_server 2 i-2 back ready
start_vm_daemon 1 front
start_vm_daemon 2 back
for m in 1 2; do
	wait_for 10 is_serving $m || fail "VM $m is not ready after 10 s"
done

send_concurrently() { # PREFIX COUNT
	local n pids=()
	for n in $(seq "$2"); do
		curl -s -o /dev/null --max-time 3 -H "Host: a.example" \
			-H "$KEY" -H "X-Request-Id: $1-$n" \
			-H "X-Deadline-Ms: 900" \
			"http://$(ip_of 2):$CALLER_PORT/b/x" &
		pids+=($!)
	done
	wait "${pids[@]}"
}
count_runs() { grep -c "^run id=$1-" "$WORK/app-1.out"; }

sleep 4 # longer than the cold start of 3 s
send_concurrently warm 60
expect "a warm server runs all requests" "$(count_runs warm)" 60
curl -sf "http://$(ip_of 1):$APP_PORT/test?cold_ms=3000" >/dev/null
sleep 0.5
send_concurrently cold 60
count=$(count_runs cold)
[ "$count" -le $ALLOWED ] ||
	fail "a server that became cold ran $count of 60 requests, at most $ALLOWED are allowed"
echo "ok   a server that became cold ran $count of 60 requests"
