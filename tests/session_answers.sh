#!/usr/bin/env bash
# Each caller gets the complete response to its own request or a refusal with
# the correct outcome, also when responses are late, interleaved, truncated or
# too large. Guards against responses that go to another caller or arrive
# truncated.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-2 reservations-1 reservations-2
KEY=bhk_ls1_example-secret-ls1
AUTH="Authorization: Bearer $KEY"

# Background load on the same connections while the cases below run.
for vm in catalogue-1 reservations-1; do
	start_caller "quick-$vm" "$vm" --key $KEY --rate 40 \
		--path /catalogue/violins --duration-ms 60000
	start_caller "slow-$vm" "$vm" --key $KEY --rate 10 \
		--path /catalogue/delay-150 --duration-ms 60000
done

request GET catalogue-1 /catalogue/large-900000 -H "$AUTH"
expect "a large response is served" "$STATUS" 200
[ "$(stat -c %s "$WORK/body")" -ge 900000 ] ||
	fail "a large response was truncated"
request GET reservations-1 /catalogue/large-900000 -H "$AUTH"
expect "a large response through another VM is served" "$STATUS" 200
[ "$(stat -c %s "$WORK/body")" -ge 900000 ] ||
	fail "a large response was truncated"
is_served() {
	request GET "$1" /catalogue/violins -H "$AUTH"
	[ "$STATUS" = 200 ]
}
for vm in catalogue-1 reservations-1; do
	request GET $vm /catalogue/large-2000000 -H "$AUTH"
	expect "a response over the size limit is refused" "$STATUS" 502
	expect "with the reason" \
		"$(header_value Bilberryhinge-Refusal)" answer_too_large
	expect "and the outcome" \
		"$(header_value Bilberryhinge-Outcome)" unknown
	request GET $vm /catalogue/cut -H "$AUTH"
	expect "a truncated response is refused" "$STATUS" 502
	expect "with the reason" \
		"$(header_value Bilberryhinge-Refusal)" connection_lost
	expect "and the outcome" \
		"$(header_value Bilberryhinge-Outcome)" unknown
	# After a truncated response, no requests are routed to the server until
	# its next heartbeat.
	wait_for 5 is_served $vm ||
		fail "$vm does not serve requests 5 s after a truncated response"
	request GET $vm /catalogue/delay-3000 -H "$AUTH" \
		-H "Bilberryhinge-Timeout-Ms: 300"
	expect "a request whose response is late is refused" "$STATUS" 504
	expect "with the reason" \
		"$(header_value Bilberryhinge-Refusal)" deadline
	expect "and the outcome" \
		"$(header_value Bilberryhinge-Outcome)" unknown
done

# Two pipelined requests: the second is sent before the first response.
get_text() {
	printf 'GET /catalogue/%s HTTP/1.1\r\nHost: x\r\n%s\r\nX-Request-Label: %s\r\n%s\r\n' \
		"$1" "$AUTH" "$2" "${3:-}"
}
exec 3<>"/dev/tcp/${CALLER_OF[reservations-1]/://}"
{
	get_text delay-400 first
	get_text violins second $'Connection: close\r\n'
} >&3
timeout 5 cat <&3 | tr -d '\r' >"$WORK/pipelined"
exec 3>&-
expect "pipelined requests are answered in order" \
	"$(sed -n 's/.*"label":"\([a-z]*\)".*/\1/p' "$WORK/pipelined" | xargs)" \
	"first second"

# The owner of an idempotency key may refuse keys created in the first seconds
# after the owner started.
served_once() {
	request POST reservations-1 /reservations/echo -H "$AUTH" \
		-H "Idempotency-Key: $(new_key)" -d once
	[ "$STATUS" = 200 ]
}
wait_for 15 served_once || fail "reservations are not served: $STATUS $BODY"
N=60
transfers=()
for i in $(seq $N); do
	vm=reservations-$((i % 2 + 1))
	head -c $((i * 1000)) /dev/urandom >"$WORK/sent-$i"
	transfers+=(--next -s -m 20 -X POST -H "$AUTH" -H "Expect:"
		-H "Idempotency-Key: $(new_key)"
		--data-binary "@$WORK/sent-$i" -o "$WORK/got-$i"
		-D "$WORK/head-$i"
		"http://${CALLER_OF[$vm]}/reservations/echo/delay-$((i * 37 % 200))")
done
curl --no-progress-meter --parallel --parallel-max 20 "${transfers[@]:1}"
whole=0
for i in $(seq $N); do
	if grep -q '^HTTP/1.1 200' "$WORK/head-$i"; then
		cmp -s "$WORK/sent-$i" "$WORK/got-$i" ||
			fail "request $i got a response other than its own"
		whole=$((whole + 1))
	else
		grep -qi '^Bilberryhinge-Outcome: ' "$WORK/head-$i" ||
			fail "request $i got neither a response nor a refusal"
	fi
done
grep -h "^Bilberryhinge-Refusal" "$WORK"/head-* | sort | uniq -c
# Two servers with 12 cold slots each can run the 20 parallel requests, so none
# may be refused.
expect "each of $N concurrent requests got its own body back" $whole $N

for vm in catalogue-1 reservations-1; do
	for kind in quick slow; do
		expect "no $kind request through $vm got the response of another request" \
			"$(caller_count $kind-$vm mismatched)" 0
		expect "no $kind request through $vm failed" \
			"$(caller_count $kind-$vm failed)" 0
		[ "$(caller_count $kind-$vm ok)" -gt 10 ] ||
			fail "at most 10 $kind requests through $vm were served"
	done
done
