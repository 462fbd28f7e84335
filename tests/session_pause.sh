#!/usr/bin/env bash
# A daemon that is stopped for 3 s and continued starts no requests that are
# past their deadline or whose caller has disconnected, and then serves again.
# Guards against a daemon that runs outdated requests from its socket buffers
# after a pause.
BUILD=$1
. "$(dirname "$0")/lib.sh"
# With one backend server for the catalogue, all requests wait in the sockets of
# its daemon.
start_fleet "$(dirname "$0")/../examples/lakeshore" catalogue-1 reservations-1
KEY=bhk_ls1_example-secret-ls1
AUTH="Authorization: Bearer $KEY"
serves() {
	request GET "$1" /catalogue/violins -H "$AUTH" -H "X-Request-Label: ask"
	[ "$STATUS" = 200 ]
}
backend_executions() {
	curl -s "http://${BACKEND_OF[catalogue-1]}/executions" |
		awk -v start="$1" 'index($1, start) == 1 { n += $2 }
			END { print n + 0 }'
}
for round in 1 2; do
	for vm in catalogue-1 reservations-1; do
		wait_for 5 serves $vm ||
			fail "$vm does not serve requests before the pause"
	done
	pid=${PID_OF[daemon-catalogue-1]}
	kill -STOP "$pid"
	start_timer
	# These requests reach their deadline before the daemon continues.
	start_caller "late$round" reservations-1 --key $KEY --rate 40 \
		--timeout-ms 500 --duration-ms 2000 --drain-ms 900 \
		--path /catalogue/violins
	# The callers of these requests disconnect after 1 s, before the timeout
	# of the route.
	for i in 1 2 3 4 5 6 7 8; do
		start "gone$round-$i" curl -s -m 1 -o /dev/null -H "$AUTH" \
			-H "X-Request-Label: gone$round-$i" \
			"http://${CALLER_OF[catalogue-1]}/catalogue/violins"
	done
	wait_until_elapsed 3
	kill -CONT "$pid"
	for vm in catalogue-1 reservations-1; do
		wait_for 5 serves $vm ||
			fail "$vm does not serve requests 5 s after the pause"
		echo "ok   $vm serves requests after pause $round"
	done
	wait_until_elapsed 5
	[ "$(caller_count "late$round" sent)" -ge 60 ] ||
		fail "fewer than 60 requests were sent during the pause"
	expect "pause $round: no request was started after its deadline" \
		"$(backend_executions late$round)" 0
	expect "pause $round: no request of a disconnected caller was started" \
		"$(backend_executions gone$round)" 0
	expect "pause $round: the daemon counted the pause" \
		"$(counter_of catalogue-1 pauses)" "$round"
	expect "pause $round: no caller got the response of another request" \
		"$(caller_count "late$round" mismatched)" 0
done

# A version published during the pause also applies to requests that were queued
# during the pause.
WITHDRAWN=bhk_ls2_example-secret-ls2
request GET catalogue-1 /catalogue/violins -H "Authorization: Bearer $WITHDRAWN"
expect "a key works before it is withdrawn" "$STATUS" 200
kill -STOP "$pid"
set_state key university-music withdrawn
publish "$SET" 2
start_timer
wait_until_elapsed 2
for i in 1 2 3 4; do
	start "queued-$i" curl -s -m 10 -o /dev/null -w '%{http_code}\n' \
		-H "Authorization: Bearer $WITHDRAWN" \
		"http://${CALLER_OF[catalogue-1]}/catalogue/violins"
done
wait_until_elapsed 3
kill -CONT "$pid"
for i in 1 2 3 4; do
	has_status() {
		[ -s "$WORK/queued-$i.out" ]
	}
	wait_for 10 has_status ||
		fail "a request sent during the pause has no response"
	code=$(cat "$WORK/queued-$i.out")
	[ "$code" = 401 ] || [ "$code" = 503 ] ||
		fail "a key withdrawn during the pause got status $code, 401 or 503 is allowed"
done
echo "ok   a key withdrawn during the pause is refused afterwards"
wait_for 5 serves catalogue-1 ||
	fail "catalogue-1 does not serve requests 5 s after the pause"
expect "after the pause the daemon has the version of its peers" \
	"$(version_of catalogue-1)" 2
