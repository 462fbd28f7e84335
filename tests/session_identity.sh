#!/usr/bin/env bash
# Onward calls run for the client account of the request that they belong to, or
# not at all, and a daemon with a different fleet secret gets no access. Guards
# against requests that run for an account without its key.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 returns-1 reservations-1
KEY=bhk_ls1_example-secret-ls1
OTHER=bhk_ls2_example-secret-ls2
AUTH="Authorization: Bearer $KEY"

# call_onward PATH [CURL ARGUMENTS]: makes an onward call at the reservations
# VM.
call_onward() {
	local path=$1
	shift
	STATUS=$(curl -s -m 10 -o "$WORK/body" -D "$WORK/headers" \
		-w '%{http_code}' "$@" \
		"http://${ONWARD_OF[reservations-1]}$path")
	BODY=$(cat "$WORK/body")
	HEADERS=$(tr -d '\r' <"$WORK/headers")
}
expect_refused() {
	expect "$1 is refused" "$STATUS" 403
	expect "$1 did not run" "$(header_value Bilberryhinge-Outcome)" not-run
}
call_onward /returns/42
expect_refused "an onward call without a token"
call_onward /returns/42 -H "$AUTH"
expect_refused "an onward call with a key and no token"
call_onward /returns/42 -H "Bilberryhinge-Call: $(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')"
expect_refused "an onward call with a made-up token"
call_onward /returns/42 -H "Bilberryhinge-Call;"
expect_refused "an onward call with an empty token"
expect "the refused onward calls reached no backend server" \
	"$(count_executions returns-1)" 0
expect "the refused onward calls are counted" \
	"$(counter_of reservations-1 onward_refused)" 4

start long curl -s -m 10 -o /dev/null -w '%{http_code}' -H "$AUTH" \
	"http://${CALLER_OF[catalogue-1]}/reservations/delay-1500"
is_running() {
	[ "$(count_executions reservations-1 delay-1500)" = 1 ]
}
wait_for 3 is_running || fail "the long request does not run after 3 s"
token=$(sed -n 's/.*delay-1500 call=\([^ ]*\).*/\1/p' "$WORK/backend-reservations-1.out")
[ ${#token} -ge 32 ] ||
	fail "the call token '$token' has fewer than 32 characters"
# Headers that name another account do not change the account of the call.
call_onward /returns/42 -H "Bilberryhinge-Call: $token" \
	-H "Authorization: Bearer $OTHER" -H "Bilberryhinge-Account: museum-desk"
expect "an onward call with the token of a running request" "$STATUS" 200
expect "the onward call ran once" "$(count_executions returns-1)" 1
curl -s "http://${ADMIN_OF[returns-1]}/spans" | grep '"kind":"guard"' |
	sed 's/.*"account":"\([^"]*\)".*/\1/' | sort -u >"$WORK/accounts"
expect "the onward call ran for the account of the request" \
	"$(cat "$WORK/accounts")" central-library
call_onward /catalogue/violins -H "Bilberryhinge-Call: ${token%?}x"
expect_refused "an onward call with a changed token"
has_status() {
	[ -s "$WORK/long.out" ]
}
wait_for 5 has_status || fail "the long request is not answered after 5 s"
expect "the long request is answered" "$(cat "$WORK/long.out")" 200
call_onward /returns/42 -H "Bilberryhinge-Call: $token"
expect_refused "an onward call after its request has ended"
request GET catalogue-1 /returns/42 -H "Bilberryhinge-Call: $token"
expect "a call token does not authenticate at the caller interface" \
	"$STATUS" 401
request GET catalogue-1 /returns/42 -H "Bilberryhinge-Account: museum-desk"
expect "an account header does not authenticate" "$STATUS" 401
request GET catalogue-1 /returns/42 -H "Authorization: Bearer ${KEY}x"
expect "a wrong secret is refused" "$STATUS" 401
expect "none of these requests ran" "$(count_executions returns-1)" 1
for vm in "${VMS[@]}"; do
	stats=$(curl -s "http://${BACKEND_OF[$vm]}/stats")
	grep -q '^saw_authorization=0' <<<"$stats" &&
		grep -q '^saw_key=0' <<<"$stats" ||
		fail "the backend server of $vm received a key"
done
echo "ok   no backend server received a key"

# count_refused_peers VM: prints how often a peer was refused. A daemon with a
# different fleet secret fails either the handshake, when it lacks the fleet's
# public key, or the check of its own key.
count_refused_peers() {
	echo $(($(counter_of "$1" 'peer_refused_total{reason="key"}') +
		$(counter_of "$1" 'peer_refused_total{reason="handshake"}')))
}
expect "no peer was refused before" "$(count_refused_peers catalogue-1)" 0
kill -KILL "${PID_OF[daemon-returns-1]}"
wait "${PID_OF[daemon-returns-1]}" 2>/dev/null
count=$(count_executions catalogue-1)
SECRET=another-fleet-secret-0123456789
start_daemon returns-1
was_refused() {
	[ "$(count_refused_peers catalogue-1)" -gt 0 ]
}
wait_for 10 was_refused ||
	fail "a peer with a wrong fleet secret is not counted after 10 s"
echo "ok   a peer with a wrong fleet secret is counted"
for i in 1 2 3 4 5; do
	request GET returns-1 /catalogue/violins -H "$AUTH"
	[ "$STATUS" != 200 ] ||
		fail "a daemon with a wrong fleet secret served a request"
	sleep 0.3
done
expect "a daemon with a wrong fleet secret starts no requests" \
	"$(count_executions catalogue-1)" "$count"
kill -KILL "${PID_OF[daemon-returns-1]}" "${PID_OF[platform]}"
wait "${PID_OF[daemon-returns-1]}" 2>/dev/null
DAEMON_ARGS+=(--seed-peers "${PEER_OF[catalogue-1]}")
start_daemon returns-1
sleep 3
expect "a daemon with a wrong fleet secret gets no configuration" \
	"$(curl -s "http://${ADMIN_OF[returns-1]}/status" | sed -n 's/^ *"version": \([0-9]*\).*/\1/p')" 0
