#!/usr/bin/env bash
# The path on the users' platform: a store that is read, application servers
# with identities, and four daemons with the platform's dialect. Each step says
# which failure it guards against.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"

REQUEST_COUNT=0
# ask VM_NUMBER METHOD PATH [CURL-ARGS]: sets STATUS, BODY, HEADERS and ID.
send_request() {
	REQUEST_COUNT=$((REQUEST_COUNT + 1))
	ID=r$REQUEST_COUNT
	STATUS=$(curl -s -o "$WORK/body" -D "$WORK/headers" -w '%{http_code}' \
		--max-time 5 -X "$2" -H "Host: a.example" \
		-H "X-Request-Id: $ID" -H "X-Deadline-Ms: ${DEADLINE:-3000}" \
		"${@:4}" \
		"http://$(ip_of "$1"):$CALLER_PORT$3")
	BODY=$(cat "$WORK/body" 2>/dev/null)
	HEADERS=$(tr -d '\r' <"$WORK/headers" 2>/dev/null)
}

count_runs() { # ID
	cat "$WORK"/app-*.out | grep -c "^run id=$1 "
}

responds_with() { # VM_NUMBER STATUS METHOD PATH [CURL-ARGS]
	send_request "$1" "$3" "$4" "${@:5}"
	[ "$STATUS" = "$2" ]
}

start_store
for m in 1 2 3 4; do
	service=front
	[ "$m" -le 2 ] || service=back
	start "app-$m" "$BIN/fake_app" "$(ip_of $m):$APP_PORT" "i-$m" $service
done
for m in 1 2; do start_vm_daemon $m front; done
for m in 3 4; do start_vm_daemon $m back; done
KEY="Authorization: Bearer k1"

sleep 1
send_request 1 GET /b/x -H "$KEY"
expect "without a configuration it says that nothing ran" "$STATUS" 503
# Guards against a refusal that does not say when to come back.
has_retry_after() { grep -q '^Retry-After: [0-9]' <<<"$HEADERS"; }
has_retry_after || fail "no time to come back without a configuration: $HEADERS"
for m in 1 2; do put_server $m "i-$m" front ready; done
for m in 3 4; do put_server $m "i-$m" back ready; done
put_config 00000003 '["k1","k2"]' 1000
for m in 1 2 3 4; do
	wait_for 10 is_serving $m || fail "machine $m is not ready"
done
wait_for 10 responds_with 3 200 GET /b/x -H "$KEY" ||
	fail "no request is served: $STATUS"
echo "ok   a request is served two daemons away"
expect "the server's body is unchanged" "$BODY" "front /b/x"
line=$(grep -h "^run id=$ID " "$WORK"/app-*.out)
case $line in
*"tenant=t1 caller=back method=GET path=/b/x key=-") echo "ok   tenant and caller are set, the key is not passed on" ;;
*) fail "the server saw: $line" ;;
esac
grep -q '^X-Server-Seal:' <<<"$HEADERS" || fail "the seal is missing"

send_request 1 GET /b/x -H "Authorization: Bearer other"
expect "an unknown key is refused" "$STATUS" 401
send_request 1 GET /nowhere/x -H "$KEY"
expect "an unknown path is refused" "$STATUS" 404
send_request 1 GET /i/x
expect "an open route needs no key" "$STATUS" 200
send_request 1 GET /b/x -H "$KEY" -H "X-Tenant: evil" -H "X-Caller-Service: evil"
grep -h "^run id=$ID " "$WORK"/app-*.out | grep -q evil &&
	fail "a caller chose tenant or service"
echo "ok   callers cannot choose tenant or service"

# Guards against an answer that is passed on to the next request.
for n in 1 2 3 4 5 6; do
	send_request 1 GET /b/late/$n -H "$KEY"
	expect "a late second answer meets no other request ($n)" "$BODY" \
		"front /b/late/$n"
done

# Guards against a second run, and a promise, after an unclear end.
send_request 1 POST /o/reset/1 -H "$KEY" -d x
expect "a lost answer of an order promises nothing" "$STATUS" 502
expect "the order ran once" "$(count_runs "$ID")" 1

# Guards against work that goes on for a client that left.
send_request 1 GET /b/slow/1 -H "$KEY" --max-time 0.2
was_cancelled() { grep -qh "^gone id=$ID" "$WORK"/app-*.out; }
wait_for 2 was_cancelled || fail "the work of a client that left goes on"
echo "ok   the work of a client that left is ended"

# Guards against requests that wait for a silent daemon until their time is
# over. The retries are earned by the requests before.
for n in $(seq 320); do send_request $((n % 2 + 3)) GET /b/x -H "$KEY"; done
kill -STOP "${PID_OF[daemon-m1]}"
for n in 1 2 3 4; do
	(send_request 3 GET /b/x -H "$KEY" && echo "$STATUS" >"$WORK/silent-$n") &
done
wait $(jobs -p | tail -4)
kill -CONT "${PID_OF[daemon-m1]}"
# Guards against more tries than the route allows; machine 4 prefers 2.
kill -STOP "${PID_OF[daemon-m2]}"
for n in 1 2 3 4; do
	curl -s -o /dev/null --max-time 3 -H "Host: a.example" -H "$KEY" \
		-H "X-Request-Id: single-$n" -H "X-Deadline-Ms: 2000" \
		"http://$(ip_of 4):$CALLER_PORT/s/x" &
done
wait $(jobs -p | tail -4)
kill -CONT "${PID_OF[daemon-m2]}"
sleep 0.2
grep -h 'request=single-.* try=2' "$WORK"/daemon-m4.err &&
	fail "a request was sent more often than its route allows"
expect "requests go elsewhere when a daemon falls silent" \
	"$(cat "$WORK"/silent-*| sort | uniq -c | xargs)" "4 200"

# Guards against a retry with too little time left to be of use: the calls take
# 600 ms, and the retries are earned by the quick ones before.
request_pids=()
for n in $(seq 120); do send_request 3 GET /i/x -H "$KEY"; done
for n in $(seq 40); do
	send_request 3 GET /i/slow/$n -H "$KEY" &
	request_pids+=($!)
done
wait "${request_pids[@]}"
REQUEST_COUNT=$((REQUEST_COUNT + 1)) # the calls above have one id
DEADLINE=780 send_request 3 GET /i/slow/reset/1 -H "$KEY"
expect "a call that fails with 180 ms left ends" "$STATUS" 502
sleep 0.2
expect "a retry is not sent when it cannot end in time" \
	"$(count_runs $ID)" 1

# Guards against a key that works after it was taken away.
put_config 00000007 '["k2"]' 1000
wait_for 2 responds_with 1 401 GET /b/x -H "$KEY" || fail "a removed key works"
echo "ok   a removed key stops working"
KEY="Authorization: Bearer k2"

# Guards against a restart with another identity being taken for the old one.
curl -sf "http://$(ip_of 1):$APP_PORT/test?id=i-1b" >/dev/null
send_request 3 GET /b/x -H "$KEY"
expect "another incarnation does not fail the request" "$STATUS" 200
put_server 1 i-1b front ready
vm_1_serves() { # the new incarnation serves again
	send_request 1 GET /b/x -H "$KEY"
	grep -qh "^run id=$ID " "$WORK/app-1.out"
}
wait_for 5 vm_1_serves || fail "the new incarnation gets no work"
echo "ok   the new incarnation is recognised"

# Guards against work of one service that runs at an address of another.
curl -sf "http://$(ip_of 1):$APP_PORT/test?id=i-1c&service=back" >/dev/null
put_server 1 i-1c back ready
request_pids=()
for n in 1 2 3 4 5 6 7 8; do
	send_request 3 GET /b/slow/$n -H "$KEY" &
	request_pids+=($!)
done
wait "${request_pids[@]}"
sleep 0.5
grep -h '^run .*service=back .*path=/b/' "$WORK"/app-*.out &&
	fail "work of front ran at back"
echo "ok   an address that changed its service runs nothing of the former"
curl -sf "http://$(ip_of 1):$APP_PORT/test?id=i-1d&service=front" >/dev/null
curl -sf -X DELETE "http://$STORE/test/item?key=servers/i-1c" >/dev/null
put_server 1 i-1d front ready
wait_for 5 vm_1_serves || fail "the address did not come back"

# Guards against new work at a server that leaves.
put_server 1 i-1d front draining
sleep 1
before=$(grep -c ^run "$WORK/app-1.out")
for n in 1 2 3 4 5 6 7 8; do send_request 1 GET /b/x -H "$KEY"; done
expect "a draining server gets no work" \
	"$(grep -c ^run "$WORK/app-1.out")" "$before"
put_server 1 i-1d front ready

# Guards against new work in a zone that is taken out.
put_item op/evacuate/z0 '{}'
sleep 1
before=$(cat "$WORK/app-2.out" "$WORK/app-4.out" | grep -c ^run)
for n in 1 2 3 4 5 6 7 8; do send_request 2 GET /b/x -H "$KEY"; done
cp "$WORK"/daemon-m3.err /tmp/w/m3.log
expect "requests go elsewhere" "$STATUS" 200
expect "an evacuated zone gets no work" \
	"$(cat "$WORK/app-2.out" "$WORK/app-4.out" | grep -c ^run)" "$before"
put_item op/evacuate/z1 '{}'
sleep 1
send_request 2 GET /b/x -H "$KEY"
expect "without any server in a zone that is in, nothing runs" "$STATUS" 503
has_retry_after || fail "no time to come back without a server: $HEADERS"
curl -sf -X DELETE "http://$STORE/test/item?key=op/evacuate/z0" >/dev/null
curl -sf -X DELETE "http://$STORE/test/item?key=op/evacuate/z1" >/dev/null

# Guards against a daemon that knows nothing while the store is away.
curl -sf -X PUT "http://$STORE/test/mode?busy" >/dev/null
send_request 1 GET /b/x -H "$KEY"
expect "the store's outage changes nothing" "$STATUS" 200
kill -KILL "${PID_OF[daemon-m3]}"
start_vm_daemon 3 back
wait_for 10 responds_with 3 200 GET /b/x -H "$KEY" ||
	fail "a restarted daemon learns nothing from its peers: $STATUS"
echo "ok   a restarted daemon learns from its peers"
curl -sf -X PUT "http://$STORE/test/mode?up" >/dev/null

# Guards against a history that the store has forgotten.
curl -sf -X PUT "http://$STORE/test/mode?forget" >/dev/null
put_config 0000000b '["k3"]' 1000
curl -sf -X PUT "http://$STORE/test/mode?up" >/dev/null
KEY="Authorization: Bearer k3"
wait_for 12 responds_with 2 200 GET /b/x -H "$KEY" ||
	fail "a change behind a forgotten history is not seen: $STATUS"
echo "ok   a forgotten history is read anew"

# Guards against a rate that each daemon counts for itself.
put_config 0000000f '["k3"]' 5
sleep 1
served=0
for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24; do
	send_request $((n % 4 + 1)) GET /b/x -H "$KEY"
	[ "$STATUS" = 200 ] && served=$((served + 1))
done
[ "$served" -le 20 ] || fail "the rate of 5 let $served of 24 pass"
grep -q '^Retry-After: 0\.' <<<"$HEADERS" ||
	[ "$STATUS" = 200 ] || fail "no time to come back: $HEADERS"
echo "ok   the rate holds over all daemons"
put_config 00000013 '["k3"]' 1000

# Guards against SIGHUP that ends the process, and a stop that cuts requests.
kill -HUP "${PID_OF[daemon-m2]}"
sleep 0.2
is_serving 2 || fail "SIGHUP ended the daemon"
send_request 2 GET /b/slow/7 -H "$KEY" &
slow=$!
sleep 0.2
kill -TERM "${PID_OF[daemon-m1]}" "${PID_OF[daemon-m2]}"
sleep 0.3
is_serving 2 && fail "a stopping daemon says that it is ready"
send_request 2 GET /b/x -H "$KEY"
expect "callers are served until the platform has taken it out" "$STATUS" 200
# Guards against a service without servers while all its daemons stop at once.
send_request 3 GET /b/x -H "$KEY"
expect "guards that stop take what no other can" "$STATUS" 200
wait $slow
wait "${PID_OF[daemon-m2]}"
expect "it ends in order" "$?" 0
# Guards against work that begins shortly before the end of a stop and is given
# up then: callers who have nowhere else to go come until the end.
slow_call() { # NUMBER
	curl -s -o /dev/null -w '%{http_code} %{exitcode}\n' --max-time 5 \
		-H "Host: a.example" -H "X-Request-Id: last-$1" \
		-H "X-Deadline-Ms: 3000" -H "$KEY" \
		"http://$(ip_of 3):$CALLER_PORT/i/slow/9" >>"$WORK/last-calls"
}
kill -TERM "${PID_OF[daemon-m3]}"
pids=()
for n in $(seq 1 65); do
	slow_call "$n" &
	pids+=($!)
	sleep 0.1
done
wait "${pids[@]}"
grep -c '^200 0$' "$WORK/last-calls" >/dev/null ||
	fail "a stopping daemon serves no caller"
# 503 promises that nothing ran; 7 is a refused connection.
expect "calls until the end of a stop that were cut or given up" \
	"$(grep -cvE '^(200|503) 0$|^000 7$' "$WORK/last-calls")" 0
grep -q 'event=reload' "$WORK/daemon-m2.err" || fail "SIGHUP is not logged"
"$BIN/bilberryhinge" trace "$(grep -ho 'event=request_refused request=r[0-9]*' \
	"$WORK"/daemon-*.err | head -1 | sed 's/.*request=//')" \
	"$WORK"/daemon-*.err | grep -q 'event=request_refused' ||
	fail "trace finds no refused request"
echo "ok   the way of a refused request can be traced"
