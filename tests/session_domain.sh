#!/usr/bin/env bash
# A failure domain set out by the configuration gets no new work after 3 s and
# gets work again when set in, while service goes on. Guards against entries
# that go on routing to a domain that was taken out, or forget it for good.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-2 catalogue-3 catalogue-4 reservations-1
KEY=bhk_ls1_example-secret-ls1

# One caller at a daemon of each domain; the one at catalogue-2 enters in the
# domain that goes out, whose entry prefers its own domain.
for vm in catalogue-1 catalogue-2 catalogue-3 reservations-1; do
	start_caller "$vm" "$vm" --key $KEY --rate 25 \
		--path /catalogue/violins --duration-ms 60000
done
wait_for 5 executions_exceed catalogue-2 0 || fail "catalogue-2 gets no work before the change"

set_state failure_domain shore-b out
publish "$SET" 2
start_timer
wait_until_elapsed 3
count=$(count_executions catalogue-2)
wait_until_elapsed 6
expect "a domain set out gets no new work after 3 s" \
	"$(count_executions catalogue-2)" "$count"
ok=$(caller_count reservations-1 ok)
sleep 1
[ "$(caller_count reservations-1 ok)" -gt "$ok" ] ||
	fail "the entry in the domain that is out serves no more"
echo "ok   the entry in the domain that is out serves from other domains"

set_state failure_domain shore-b in
publish "$SET" 3
wait_for 13 executions_exceed catalogue-2 "$count" ||
	fail "a domain set in again gets no work within 13 s"
echo "ok   a domain set in again gets work"
for vm in catalogue-1 catalogue-2 catalogue-3 reservations-1; do
	expect "no request through $vm was cut" "$(caller_count "$vm" failed)" 0
	sent=$(caller_count "$vm" sent)
	ok=$(caller_count "$vm" ok)
	# At most 1% refused, and those that are under way now.
	[ $((sent - ok)) -le $((sent / 100 + 5)) ] ||
		fail "$vm served $ok of $sent"
	echo "ok   $vm served $ok of $sent"
done
