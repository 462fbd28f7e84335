#!/usr/bin/env bash
# A failure domain that the configuration sets to "out" gets no new requests
# after 3 s, and gets requests again when it is set to "in"; requests are served
# throughout. Guards against entries that keep routing to a domain that is out,
# or never use it again.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-2 catalogue-3 catalogue-4 reservations-1
KEY=bhk_ls1_example-secret-ls1

# Load through the daemons of every domain. catalogue-2 and reservations-1 are
# in the domain that is set to "out", and entries prefer their own domain.
for vm in catalogue-1 catalogue-2 catalogue-3 reservations-1; do
	start_caller "$vm" "$vm" --key $KEY --rate 25 \
		--path /catalogue/violins --duration-ms 60000
done
wait_for 5 executions_exceed catalogue-2 0 ||
	fail "catalogue-2 gets no requests before the change"

set_state failure_domain shore-b out
publish "$SET" 2
start_timer
wait_until_elapsed 3
count=$(count_executions catalogue-2)
wait_until_elapsed 6
expect "a domain that is out gets no new requests after 3 s" \
	"$(count_executions catalogue-2)" "$count"
ok=$(caller_count reservations-1 ok)
sleep 1
[ "$(caller_count reservations-1 ok)" -gt "$ok" ] ||
	fail "the entry in the domain that is out serves no requests"
echo "ok   the entry in the domain that is out routes requests to other domains"

set_state failure_domain shore-b in
publish "$SET" 3
wait_for 13 executions_exceed catalogue-2 "$count" ||
	fail "a domain that is in again gets no requests within 13 s"
echo "ok   a domain that is in again gets requests"
for vm in catalogue-1 catalogue-2 catalogue-3 reservations-1; do
	expect "no request through $vm failed" "$(caller_count "$vm" failed)" 0
	sent=$(caller_count "$vm" sent)
	ok=$(caller_count "$vm" ok)
	# At most 1% may be refused; up to 5 are still in flight.
	[ $((sent - ok)) -le $((sent / 100 + 5)) ] ||
		fail "$vm served only $ok of $sent requests"
	echo "ok   $vm served $ok of $sent requests"
done
