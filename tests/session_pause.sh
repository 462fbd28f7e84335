#!/usr/bin/env bash
# A daemon that was stopped for 3 s and goes on starts no work that is out of
# time or whose caller has gone, and serves again. Guards against a daemon that
# wakes late and runs what was queued in its sockets.
BUILD=$1
. "$(dirname "$0")/lib.sh"
# One backend server for the catalogue: its daemon's sockets take all requests.
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
		wait_for 5 serves $vm || fail "$vm does not serve before the pause"
	done
	pid=${PID_OF[daemon-catalogue-1]}
	kill -STOP "$pid"
	start_timer
	# Their time ends before the daemon goes on.
	start_caller "late$round" reservations-1 --key $KEY --rate 40 \
		--timeout-ms 500 --duration-ms 2000 --drain-ms 900 \
		--path /catalogue/violins
	# Their callers go away after 1 s; the time of the route is longer.
	for i in 1 2 3 4 5 6 7 8; do
		start "gone$round-$i" curl -s -m 1 -o /dev/null -H "$AUTH" \
			-H "X-Request-Label: gone$round-$i" \
			"http://${CALLER_OF[catalogue-1]}/catalogue/violins"
	done
	wait_until_elapsed 3
	kill -CONT "$pid"
	for vm in catalogue-1 reservations-1; do
		wait_for 5 serves $vm || fail "$vm does not serve after the pause"
		echo "ok   $vm serves after pause $round"
	done
	wait_until_elapsed 5
	[ "$(caller_count "late$round" sent)" -ge 60 ] ||
		fail "the caller did not send its requests during the pause"
	expect "pause $round: nothing out of time was started" \
		"$(backend_executions late$round)" 0
	expect "pause $round: nothing whose caller has gone was started" \
		"$(backend_executions gone$round)" 0
	expect "pause $round: the daemon noticed it" \
		"$(counter_of catalogue-1 pauses)" "$round"
	expect "pause $round: no answer was crossed" \
		"$(caller_count "late$round" mismatched)" 0
done

# A version that came during the pause holds for what was queued before it.
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
	wait_for 10 has_status || fail "a request sent during the pause has no answer"
	code=$(cat "$WORK/queued-$i.out")
	[ "$code" = 401 ] || [ "$code" = 503 ] ||
		fail "a key withdrawn during the pause was answered $code"
done
echo "ok   a key withdrawn during the pause is not served after it"
wait_for 5 serves catalogue-1 || fail "catalogue-1 does not serve"
expect "the woken daemon has the version of its peers" \
	"$(version_of catalogue-1)" 2
