#!/usr/bin/env bash
# A backend server that states a rate limit in its answers gets no more requests
# than it takes, also after the daemon beside it was killed and started again.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
KEY="Authorization: Bearer k1"
LIMIT=10
# Requests allowed in any 4 s: 1.5 times the limit, plus 5; the users' platform
# sets this tolerance, and the time until the limit is kept.
ALLOWED=$((LIMIT * 4 * 3 / 2 + 5))
STABLE_MS=3000

start_store
put_config 00000003 '["k1"]' 1000
start_vms front back

# send_steadily PREFIX COUNT: sends about 30 requests a second, a third of them
# non-idempotent, and stores the status and Retry-After of each.
send_steadily() {
	local n path method
	for n in $(seq "$2"); do
		path=/b/x method=GET
		[ $((n % 3)) -ne 0 ] || path=/o/x method=POST
		curl -s -o /dev/null --max-time 5 -X $method \
			-H "Host: a.example" -H "$KEY" \
			-H "X-Request-Id: $1-$n" -H "X-Deadline-Ms: 3000" \
			-w "$1-$n %{http_code} after=%header{retry-after}\n" \
			"http://$(ip_of 2):$CALLER_PORT$path" >>"$WORK/results" &
		sleep 0.033
	done
}

now_ms() { awk '{ print int($1 * 1000) }' /proc/uptime; }

# Prints the most requests that started within 4 s, from the time $1 on.
most_in_4_s() {
	sed -n 's/^run id=.* at=\([0-9]*\) .*/\1/p' "$WORK/app-1.out" |
		awk -v from="$1" '$1 >= from {
			at[++n] = $1
			while (at[n] - at[first + 1] >= 4000) first++
			if (n - first > most) most = n - first
		} END { print most + 0 }'
}

send_steadily free 60
expect "without a limit all requests are served" \
	"$(sleep 1; grep -c '^free-.* 200 ' "$WORK/results")" 60
curl -sf "http://$(ip_of 1):$APP_PORT/test?limit=$LIMIT" >/dev/null
STATED=$(now_ms)
send_steadily limited 240
most=$(most_in_4_s $((STATED + STABLE_MS)))
[ "$most" -le $ALLOWED ] ||
	fail "a server that takes $LIMIT requests a second got $most in 4 s, at most $ALLOWED are allowed"
[ "$most" -ge $((LIMIT * 3)) ] ||
	fail "a server that takes $LIMIT requests a second got only $most in 4 s"
echo "ok   a limited server got $most requests in 4 s"

kill -KILL "${PID_OF[daemon-m1]}"
start_vm_daemon 1 front
send_steadily restarted 200
most=$(most_in_4_s $((STATED + STABLE_MS)))
[ "$most" -le $ALLOWED ] ||
	fail "after a restart of the daemon the limited server got $most requests in 4 s, at most $ALLOWED are allowed"
echo "ok   after a restart of the daemon it got $most requests in 4 s"
sleep 4
# Guards against requests that are held until their caller gives up, and
# against refusals that do not say when to come back.
grep -E ' (429|503) ' "$WORK/results" | grep -v 'after=[0-9]' >"$WORK/bad"
[ ! -s "$WORK/bad" ] || fail "a refusal has no Retry-After: $(head -1 "$WORK/bad")"
grep -E ' (000|504) ' "$WORK/results" | grep -v '^restarted-' >"$WORK/bad"
[ ! -s "$WORK/bad" ] || fail "a request was held too long: $(head -1 "$WORK/bad")"
echo "ok   refusals state when to come back"

curl -sf "http://$(ip_of 1):$APP_PORT/test?limit=" >/dev/null
sleep 1
send_steadily after 60
expect "all requests are served when the server states no limit any more" \
	"$(sleep 1; grep -c '^after-.* 200 ' "$WORK/results")" 60

# Guards against a server that states 0 and is never asked again.
curl -sf "http://$(ip_of 1):$APP_PORT/test?limit=0" >/dev/null
sleep 0.5
send_steadily zero 30
sleep 3.5
served=$(grep -c '^zero-.* 200 ' "$WORK/results")
[ "$served" -le 6 ] || fail "a server that takes nothing ran $served of 30 requests"
curl -sf "http://$(ip_of 1):$APP_PORT/test?limit=" >/dev/null
sleep 2
send_steadily ended 30
expect "a server that stated 0 is used again when it states no limit" \
	"$(sleep 1; grep -c '^ended-.* 200 ' "$WORK/results")" 30
