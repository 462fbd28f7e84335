#!/usr/bin/env bash
# Tests requests on the users' platform: a fake store, application servers with
# instance ids, and four daemons with --dialect=platform. Each step names the
# failure that it guards against.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"

REQUEST_COUNT=0
# send_request VM_NUMBER METHOD PATH [CURL-ARGS]: sets STATUS, BODY, HEADERS and
# ID, the request id.
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

# fill_retry_budget VM_NUMBER COUNT PATH: sends requests from one process, as the
# budget decays over ten seconds and a process each takes longer on a busy
# machine.
fill_retry_budget() {
	local n args=()
	for n in $(seq "$2"); do
		args+=(--next -s -o /dev/null --max-time 5 -H "Host: a.example"
			-H "$KEY" -H "X-Request-Id: fill$1-$n"
			-H "X-Deadline-Ms: 3000" -w '%{http_code}\n'
			"http://$(ip_of "$1"):$CALLER_PORT$3")
	done
	curl "${args[@]:1}" | sort | uniq -c | xargs
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
expect "a daemon without a configuration refuses requests" "$STATUS" 503
# Guards against a refusal without Retry-After.
has_retry_after() { grep -q '^Retry-After: [0-9]' <<<"$HEADERS"; }
has_retry_after ||
	fail "no Retry-After in a refusal without a configuration: $HEADERS"
for m in 1 2; do put_server $m "i-$m" front ready; done
for m in 3 4; do put_server $m "i-$m" back ready; done
put_config 00000003 '["k1","k2"]' 1000
for m in 1 2 3 4; do
	wait_for 10 is_serving $m || fail "VM $m is not ready after 10 s"
done
wait_for 10 responds_with 3 200 GET /b/x -H "$KEY" ||
	fail "no request is served after 10 s: status $STATUS"
echo "ok   a request is served through two daemons"
expect "the response body of the server is unchanged" "$BODY" "front /b/x"
line=$(grep -h "^run id=$ID " "$WORK"/app-*.out)
case $line in
*"tenant=t1 caller=back method=GET path=/b/x key=-") echo "ok   tenant and caller are set, the key is not forwarded" ;;
*) fail "the server received wrong metadata: $line" ;;
esac
grep -q '^X-Server-Seal:' <<<"$HEADERS" ||
	fail "the response header X-Server-Seal is missing"

send_request 1 GET /b/x -H "Authorization: Bearer other"
expect "an unknown key is refused" "$STATUS" 401
send_request 1 GET /nowhere/x -H "$KEY"
expect "an unknown path is refused" "$STATUS" 404
send_request 1 GET /i/x
expect "an open route needs no key" "$STATUS" 200
send_request 1 GET /b/x -H "$KEY" -H "X-Tenant: evil" -H "X-Caller-Service: evil"
grep -h "^run id=$ID " "$WORK"/app-*.out | grep -q evil &&
	fail "the server received a tenant or service chosen by the caller"
echo "ok   callers cannot choose tenant or service"

# Guards against a response that is forwarded to the next request.
for n in 1 2 3 4 5 6; do
	send_request 1 GET /b/late/$n -H "$KEY"
	expect "a late second response goes to no other request ($n)" "$BODY" \
		"front /b/late/$n"
done

# Guards against a second execution, and against the outcome not-run, when a
# non-idempotent request has an unknown outcome.
send_request 1 POST /o/reset/1 -H "$KEY" -d x
expect "an order whose response is lost is answered with 502" "$STATUS" 502
expect "the order ran once" "$(count_runs "$ID")" 1

# Guards against requests that keep running after their client disconnected.
send_request 1 GET /b/slow/1 -H "$KEY" --max-time 0.2
was_cancelled() { grep -qh "^gone id=$ID" "$WORK"/app-*.out; }
wait_for 2 was_cancelled ||
	fail "the request of a disconnected client is not cancelled after 2 s"
echo "ok   the request of a disconnected client is cancelled"

# Guards against requests that wait for an unresponsive daemon until their
# deadline. The first 320 requests fill the retry budget.
for m in 3 4; do
	expect "requests that fill the retry budget of VM $m" \
		"$(fill_retry_budget $m 160 /b/x)" "160 200"
done
kill -STOP "${PID_OF[daemon-m1]}"
for n in 1 2 3 4; do
	(send_request 3 GET /b/x -H "$KEY" && echo "$STATUS" >"$WORK/silent-$n") &
done
wait $(jobs -p | tail -4)
kill -CONT "${PID_OF[daemon-m1]}"
# Guards against more attempts than the route allows; VM 4 prefers VM 2.
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
	fail "a request had more attempts than its route allows"
expect "requests are rerouted from an unresponsive daemon" \
	"$(cat "$WORK"/silent-*| sort | uniq -c | xargs)" "4 200"

# Guards against a retry without enough time left to complete: these requests
# take 600 ms. The first 120 requests are fast and fill the retry budget.
request_pids=()
fill_retry_budget 3 120 /i/x >/dev/null
for n in $(seq 40); do
	send_request 3 GET /i/slow/$n -H "$KEY" &
	request_pids+=($!)
done
wait "${request_pids[@]}"
REQUEST_COUNT=$((REQUEST_COUNT + 1)) # the background requests above share one id
DEADLINE=780 send_request 3 GET /i/slow/reset/1 -H "$KEY"
expect "a request that fails 180 ms before its deadline gets a refusal" \
	"$STATUS" 502
sleep 0.2
expect "a retry that cannot complete in time is not sent" \
	"$(count_runs $ID)" 1

# Guards against a key that works after its removal.
put_config 00000007 '["k2"]' 1000
wait_for 2 responds_with 1 401 GET /b/x -H "$KEY" ||
	fail "a removed key works after 2 s"
echo "ok   a removed key stops working"
KEY="Authorization: Bearer k2"

# Guards against treating a server that restarted with a new instance id as the
# old instance.
curl -sf "http://$(ip_of 1):$APP_PORT/test?id=i-1b" >/dev/null
send_request 3 GET /b/x -H "$KEY"
expect "a request is served despite the new instance id" "$STATUS" 200
put_server 1 i-1b front ready
vm_1_serves() {
	send_request 1 GET /b/x -H "$KEY"
	grep -qh "^run id=$ID " "$WORK/app-1.out"
}
wait_for 5 vm_1_serves || fail "the new instance gets no requests within 5 s"
echo "ok   the new instance gets requests"

# Guards against requests for one service that run at an address which now
# belongs to another service.
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
	fail "a request for service front ran at service back"
echo "ok   an address that changed its service runs no requests of the old one"
curl -sf "http://$(ip_of 1):$APP_PORT/test?id=i-1d&service=front" >/dev/null
curl -sf -X DELETE "http://$STORE/test/item?key=servers/i-1c" >/dev/null
put_server 1 i-1d front ready
wait_for 5 vm_1_serves ||
	fail "the address gets no requests within 5 s after it changed back"

# Guards against new requests to a draining server.
put_server 1 i-1d front draining
sleep 1
before=$(grep -c ^run "$WORK/app-1.out")
for n in 1 2 3 4 5 6 7 8; do send_request 1 GET /b/x -H "$KEY"; done
expect "a draining server gets no new requests" \
	"$(grep -c ^run "$WORK/app-1.out")" "$before"
put_server 1 i-1d front ready

# Guards against new requests in an evacuated zone.
put_item op/evacuate/z0 '{}'
sleep 1
before=$(cat "$WORK/app-2.out" "$WORK/app-4.out" | grep -c ^run)
for n in 1 2 3 4 5 6 7 8; do send_request 2 GET /b/x -H "$KEY"; done
cp "$WORK"/daemon-m3.err /tmp/w/m3.log
expect "requests are served outside the evacuated zone" "$STATUS" 200
expect "an evacuated zone gets no new requests" \
	"$(cat "$WORK/app-2.out" "$WORK/app-4.out" | grep -c ^run)" "$before"
put_item op/evacuate/z1 '{}'
sleep 1
send_request 2 GET /b/x -H "$KEY"
expect "requests are refused when all zones are evacuated" "$STATUS" 503
has_retry_after || fail "no Retry-After in a refusal without servers: $HEADERS"
curl -sf -X DELETE "http://$STORE/test/item?key=op/evacuate/z0" >/dev/null
curl -sf -X DELETE "http://$STORE/test/item?key=op/evacuate/z1" >/dev/null

# Guards against a daemon without a configuration while the store is
# unavailable.
curl -sf -X PUT "http://$STORE/test/mode?busy" >/dev/null
send_request 1 GET /b/x -H "$KEY"
expect "requests are served while the store is unavailable" "$STATUS" 200
kill -KILL "${PID_OF[daemon-m3]}"
start_vm_daemon 3 back
wait_for 10 responds_with 3 200 GET /b/x -H "$KEY" ||
	fail "a restarted daemon does not get the configuration from its peers: status $STATUS"
echo "ok   a restarted daemon gets the configuration from its peers"
curl -sf -X PUT "http://$STORE/test/mode?up" >/dev/null

# Guards against missed changes when the store has dropped its change history.
curl -sf -X PUT "http://$STORE/test/mode?forget" >/dev/null
put_config 0000000b '["k3"]' 1000
curl -sf -X PUT "http://$STORE/test/mode?up" >/dev/null
KEY="Authorization: Bearer k3"
wait_for 12 responds_with 2 200 GET /b/x -H "$KEY" ||
	fail "a change is missed after the store dropped its history: status $STATUS"
echo "ok   a change is seen after the store dropped its history"

# Guards against a rate limit that each daemon enforces on its own.
put_config 0000000f '["k3"]' 5
sleep 1
served=0
for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24; do
	send_request $((n % 4 + 1)) GET /b/x -H "$KEY"
	[ "$STATUS" = 200 ] && served=$((served + 1))
done
[ "$served" -le 20 ] ||
	fail "$served of 24 requests passed a rate of 5/s, at most 20 are allowed"
grep -q '^Retry-After: 0\.' <<<"$HEADERS" ||
	[ "$STATUS" = 200 ] ||
		fail "no Retry-After below 1 s in a rate-limit refusal: $HEADERS"
echo "ok   the rate limit applies across all daemons"
put_config 00000013 '["k3"]' 1000

# Guards against SIGHUP ending the process, and against a stop that interrupts
# requests.
kill -HUP "${PID_OF[daemon-m2]}"
sleep 0.2
is_serving 2 || fail "SIGHUP ended the daemon"
send_request 2 GET /b/slow/7 -H "$KEY" &
slow=$!
sleep 0.2
kill -TERM "${PID_OF[daemon-m1]}" "${PID_OF[daemon-m2]}"
sleep 0.3
is_serving 2 && fail "a stopping daemon reports that it is ready"
send_request 2 GET /b/x -H "$KEY"
expect "a stopping daemon serves callers until the platform has removed it" \
	"$STATUS" 200
# Guards against an unavailable service while all its daemons are stopping.
send_request 3 GET /b/x -H "$KEY"
expect "stopping guards accept requests that no other guard can take" \
	"$STATUS" 200
wait $slow
wait "${PID_OF[daemon-m2]}"
expect "the stopped daemon exits with status 0" "$?" 0
# Guards against requests that are started shortly before the end of a stop and
# then abandoned. Callers without another daemon send requests until the end.
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
	fail "a stopping daemon serves no requests"
# Status 503 means that nothing ran; curl's exit status 7 is a refused
# connection.
expect "no request is interrupted or abandoned at the end of a stop" \
	"$(grep -cvE '^(200|503) 0$|^000 7$' "$WORK/last-calls")" 0
grep -q 'event=reload' "$WORK/daemon-m2.err" || fail "SIGHUP is not logged"
"$BIN/bilberryhinge" trace "$(grep -ho 'event=request_refused request=r[0-9]*' \
	"$WORK"/daemon-*.err | head -1 | sed 's/.*request=//')" \
	"$WORK"/daemon-*.err | grep -q 'event=request_refused' ||
	fail "the trace command does not find a refused request"
echo "ok   a refused request can be traced"
