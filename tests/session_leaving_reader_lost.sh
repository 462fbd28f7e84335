#!/usr/bin/env bash
# Some daemons lose the store for a moment, and shortly after it a server leaves
# without a report: its entry is removed, and it serves on for `drain`.
# Guards against daemons that take the removal for an entry that expired in an
# outage of the store, and go on sending to the server; and, after an outage of
# the store, against those that drop a server whose entry did expire.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
VM_COUNT=6
# The server of a removed entry must get no request this long after it.
LEAVE_S=1.5
# An entry expires when its server could not write for three intervals of 1.5 s.
OUTAGE_S=5

delete_item() {
	curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null ||
		fail "the fake store does not delete $1"
}
# send_orders NAME COUNT: at all VMs in turn.
send_orders() {
	local n
	for n in $(seq "$2"); do
		curl -s -o /dev/null --max-time 4 -w '%{http_code}\n' -X POST \
			--data order -H "Host: a.example" \
			-H "Authorization: Bearer k1" -H "X-Deadline-Ms: 2000" \
			-H "X-Request-Id: $1-$n" \
			"http://$(ip_of $((n % VM_COUNT + 1))):$CALLER_PORT/o/$1" \
			>>"$WORK/status-$1"
	done
}
count_runs() { # VM NAME
	grep -c "path=/o/$2" "$WORK/app-$1.out"
}

start_store
put_config 00000003 '["k1"]' 1000
start_store_links $VM_COUNT
start_vms front front front front front front

# leave VM WHEN CUT_VM...: the server of the VM leaves 0.2 s after the end of a
# cut of the others.
leave() {
	local vm=$1 when=$2
	shift 2
	if [ $# -gt 0 ]; then
		cut_store close "$@"
		sleep 0.3
		heal_store
		sleep 0.2
	fi
	delete_item "servers/i-$vm"
	sleep "$LEAVE_S"
	send_orders "left-$vm" 60
	expect "requests to a server that left $when" \
		"$(count_runs "$vm" "left-$vm")" 0
	expect "answers meanwhile" "$(sort -u "$WORK/status-left-$vm")" 200
	put_server "$vm" "i-$vm" front ready
	sleep 1
}
leave 1 "while all daemons reach the store"
leave 1 "after two daemons lost the store" 3 4
leave 2 "after its own daemon lost the store" 2
leave 3 "after a whole failure domain lost the store" 1 3 5
leave 4 "after all daemons lost the store for a moment" 1 2 3 4 5 6

# One daemon is cut off for as long as an outage lasts; the others tell it that
# there was none.
cut_store drop 5
sleep $OUTAGE_S
leave 6 "while a daemon is cut off"
heal_store
sleep 1
delete_item servers/i-1
sleep "$LEAVE_S"
send_orders after-long-cut 60
expect "requests to a server that left after a long cut of one daemon" \
	"$(count_runs 1 after-long-cut)" 0
put_server 1 i-1 front ready
sleep 1

# The entries of two servers expire in an outage of the store; one of them is back
# 1.9 s after it.
cut_store close 1 2 3 4 5 6
sleep $OUTAGE_S
delete_item servers/i-1
delete_item servers/i-2
heal_store
sleep 1.2
send_orders expired 60
[ "$(count_runs 1 expired)" -gt 0 ] && [ "$(count_runs 2 expired)" -gt 0 ] ||
	fail "servers whose entries expired in an outage are not used"
echo "ok   servers whose entries expired in an outage stay in use"
put_server 1 i-1 front ready
sleep 3
send_orders settled 60
[ "$(count_runs 1 settled)" -gt 0 ] || fail "a server that is back is not used"
expect "requests to a server that did not come back" \
	"$(count_runs 2 settled)" 0
