#!/usr/bin/env bash
# A VM is taken out of use while requests are at work at its server, which serves
# on: its entry is removed, replaced, moved to another service or failure domain,
# removed and restored, or its failure domain is evacuated.
# Guards against answers that are lost with the link to the VM, to orders and to
# calls of servers, and against new requests that are sent there.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/in_flight_lib.sh"
ENTRY=1
OTHER_ENTRY=5
start_in_flight_vms back back

begin_round $ENTRY
remove_entry
sleep 0.3
expect_unused removed $ENTRY
send $LEAVING_VM "own-$ROUND" /c/x
expect "removed: a call of its server" \
	"$(awk -v id="own-$ROUND" '$1 == id { print $2 }' "$WORK/round.log")" 200
expect_answers removed
wait_for 3 has_no_retired_links $ENTRY ||
	fail "the link to the removed VM stays open without requests"
restore_entry
expect_used removed $ENTRY

begin_round $ENTRY
put_server $LEAVING_VM i-new front ready
remove_entry
expect_answers replaced
LEAVING_ID=i-new
curl -sf "http://$(ip_of $LEAVING_VM):$APP_PORT/test?id=$LEAVING_ID" >/dev/null
expect_used replaced $ENTRY

begin_round $ENTRY
put_server $LEAVING_VM $LEAVING_ID back ready
sleep 0.3
expect_unused "other service" $ENTRY
expect_answers "other service"
restore_entry
expect_used "other service" $ENTRY

begin_round $ENTRY
remove_entry
sleep 0.2
put_server $LEAVING_VM i-reused back ready
sleep 0.3
expect_unused "address used again" $ENTRY
expect_answers "address used again"
delete_item servers/i-reused
restore_entry
expect_used "address used again" $ENTRY

begin_round $ENTRY
ZONE=z0 put_server $LEAVING_VM $LEAVING_ID front ready
expect_answers "other failure domain"
restore_entry
expect_used "other failure domain" $ENTRY

begin_round $ENTRY
put_item op/evacuate/z1 '{}'
sleep 0.3
expect_unused evacuated $ENTRY
expect_answers evacuated
delete_item op/evacuate/z1
expect_used evacuated $ENTRY

# The link is taken back each time, so no further one stays open.
set_server_ms 3000
begin_round $ENTRY
for _ in 1 2 3; do
	remove_entry
	sleep 0.35
	restore_entry
	sleep 0.35
done
expect "restored: requests that are still at work" \
	"$(wc -l <"$WORK/round.log")" 0
has_no_retired_links $ENTRY ||
	fail "restored: VM $ENTRY keeps several links to a VM"
expect_answers restored
expect_used restored $ENTRY
set_server_ms $SERVER_MS

begin_round $ENTRY
for id in i-1 i-$OTHER_VM $LEAVING_ID; do delete_item servers/$id; done
sleep 0.3
put_server 1 i-1 back ready
put_server $OTHER_VM i-$OTHER_VM front ready
restore_entry
expect_answers "empty list"
expect_used "empty list" $ENTRY

# What waits at the VM for a slot goes elsewhere at once.
set_server_ms 3000
begin_round $ENTRY $(seq -f /o/slow/%g $((SLOTS - 4)))
waits=()
for n in $(seq 8); do
	send $OTHER_ENTRY "w$ROUND-$n" /o/slow/waits &
	waits+=($!)
done
is_full() { [ "$(ran_at $LEAVING_VM w$ROUND)" = 4 ]; }
wait_for 2 is_full || fail "VM $LEAVING_VM does not run as many as it has slots"
remove_entry
ran_elsewhere() { [ "$(ran_at $OTHER_VM w$ROUND)" = 4 ]; }
wait_for 1 ran_elsewhere || fail "requests wait at a VM that was removed"
wait "${waits[@]}"
expect_answers waiting
set_server_ms $SERVER_MS
restore_entry
expect_used waiting $ENTRY

# Servers stop requests whose caller has left.
METHOD=GET PATIENCE_S=1 begin_round $ENTRY /b/slow/1 /b/slow/2 /b/slow/3
remove_entry
wait "${SENDS[@]}"
all_gone() {
	[ "$(grep -c "^gone id=r$ROUND-" "$WORK/app-$LEAVING_VM.out")" = "$SENT" ]
}
wait_for 1 all_gone || fail "servers work on for callers that have left"
echo "ok   a removed VM learns of callers that have left"
restore_entry
expect_used "callers left" $ENTRY

# Idempotent requests are sent elsewhere, orders wait for their answers.
METHOD=GET begin_round $ENTRY /b/slow/1 /b/slow/2 /o/slow/3 /c/slow/4
remove_entry
sleep 0.2
kill -STOP "${PID_OF[daemon-m$LEAVING_VM]}"
sleep 3.3
expect "silent: answers before the VM goes on" \
	"$(awk '$2 == 200 { print $1 }' "$WORK/round.log" | sort | xargs)" \
	"r$ROUND-1 r$ROUND-2"
kill -CONT "${PID_OF[daemon-m$LEAVING_VM]}"
wait "${SENDS[@]}"
expect "silent: requests that were not answered by a server" \
	"$(awk '$2 != 200' "$WORK/round.log")" ""
restore_entry
expect_used silent $ENTRY

# The VM ends: what is in flight there ends then, not at its deadline.
begin_round $ENTRY
remove_entry
sleep 0.2
kill -KILL "${PID_OF[app-$LEAVING_VM]}" "${PID_OF[daemon-m$LEAVING_VM]}"
wait "${SENDS[@]}"
expect "lost: requests that did not end with their server" \
	"$(awk '$2 != 502 || $5 > 2' "$WORK/round.log")" ""
