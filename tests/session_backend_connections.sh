#!/usr/bin/env bash
# A backend server answers at the deadline that it was told, or rejects half of
# its requests. Guards against a new connection to it for each such request: the
# target is less than one in a hundred requests. Another ignores its deadlines;
# guards against more work at once than it has slots.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
REQUESTS=1000
AT_ONCE=10

accepted() { grep -c accepted "$WORK/app-1.out"; }
counter() { # NAME
	curl -s "http://$(ip_of 1):$ADMIN_PORT/counters" |
		awk -v n="$1" '$1 == n { print $2 }'
}
# Prints the statuses with their counts. The paths end with the number.
send_many() { # NAME COUNT PATH...
	local name=$1 count=$2 n
	shift 2
	for ((n = 0; n < count; n++)); do
		echo "$name-$n ${*:n % $# + 1:1}"
	done | xargs -P "${WIDTH:-$AT_ONCE}" -L 1 sh -c 'curl -s -o /dev/null --max-time 5 \
		-H "Host: a.example" -H "Authorization: Bearer k1" \
		-H "X-Deadline-Ms: 150" -H "X-Request-Id: $2" \
		-w "%{http_code}\n" "http://$1$3"' \
		sh "$(ip_of 1):$CALLER_PORT" | sort | uniq -c | xargs
}
expect_few_new() { # NAME PATH...
	local name=$1 before new
	shift
	# As many as can be in use at once, one for each slot, are opened first.
	WIDTH=40 send_many "$name-first" 200 /b/late/x >"$WORK/$name-first"
	before=$(accepted)
	echo "     $name: statuses $(send_many "$name" $REQUESTS "$@")"
	new=$(($(accepted) - before))
	[ $((new * 100)) -lt $REQUESTS ] || {
		curl -s "http://$(ip_of 1):$ADMIN_PORT/counters" |
			grep backend_
		fail "$name: $REQUESTS requests opened $new connections"
	}
	echo "ok   $name: $REQUESTS requests opened $new connections"
}

start_store
put_config 00000004 '["k1"]' 10000
start app-1 perl "$(dirname "$0")/deadline_server.pl" \
	"$(ip_of 1):$APP_PORT" i-1
put_server 1 i-1 front ready
start_vm_daemon 1 front
wait_for 10 is_serving 1 || fail "VM 1 is not ready after 10 s"
sleep 4 # the daemons hand out rates some seconds after their start

expect_few_new answered /b/x
expect_few_new at-the-deadline /b/late/x
[ "$(counter backend_answers_late)" -gt 0 ] ||
	fail "no answer has come after its deadline"
expect_few_new rejected /b/x /b/refused/x
opened() {
	curl -s "http://$(ip_of 1):$ADMIN_PORT/counters" |
		awk '/^backend_connections_opened/ { n += $2 } END { print n }'
}
agree() { [ "$(opened)" = "$(accepted)" ]; }
# The server may not have accepted the last one yet.
wait_for 5 agree ||
	fail "the daemon counts $(opened) connections, the server $(accepted)"
echo "ok   the counters agree with the server"

WIDTH=40 send_many deaf 400 /b/deaf/x >"$WORK/deaf"
most=$(awk '/^running/ && $2 > n { n = $2 } END { print n + 0 }' "$WORK/app-1.out")
[ "$most" -ge 10 ] || fail "only $most requests ran at once"
[ "$most" -le 20 ] || fail "$most requests ran at once on 20 slots"
echo "ok   $most requests that ignore their deadline ran at once"
