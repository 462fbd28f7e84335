#!/usr/bin/env bash
# A server's entry is replaced by one with another id, which is removed; then the
# former entry is back.
# Guards against a guard that waits for the other server for good: it refused all
# requests after its VM had been out of the list while it waited.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"

delete_item() {
	curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null ||
		fail "the fake store does not delete $1"
}
has_logged() { # TEXT
	grep -q "$1" "$WORK/daemon-m3.err"
}
# VM 3 is in the failure domain of the entry, so requests go there first.
is_used() {
	curl -s -o /dev/null -m 3 -H "Host: a.example" \
		-H "Authorization: Bearer k1" -H "X-Request-Id: used-$RANDOM" \
		-H "X-Deadline-Ms: 2000" "http://$(ip_of 1):$CALLER_PORT/b/x"
	grep -q "^run id=used-" "$WORK/app-3.out"
}

start_store
put_config 00000003 '["k1"]' 10000
start_vms back front front
put_server 3 i-other front ready
delete_item servers/i-3
wait_for 5 has_logged 'event=backend_held why="another instance' ||
	fail "VM 3 does not notice the other server"
delete_item servers/i-other
wait_for 5 has_logged "event=vm_not_in_roster" ||
	fail "VM 3 does not notice that its entry was removed"
sleep 0.5
put_server 3 i-3 front ready
wait_for 8 is_used || fail "VM 3 gets no requests 8 s after its entry is back"
echo "ok   VM 3 gets requests again"
