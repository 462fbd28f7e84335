#!/usr/bin/env bash
# A VM is taken out of use while requests are at work at its server, beside the
# planned stop of the daemon of their entry, of the daemon of that VM, or of both,
# before it or after it.
# Guards against a stopping daemon that holds accepted requests until the end of
# its time and gives them up, although their server has answered.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/in_flight_lib.sh"

stop() { kill -TERM "${PID_OF[daemon-m$1]}"; } # VM
expect_stopped() { # TEXT VM
	wait "${PID_OF[daemon-m$2]}"
	expect "$1: exit status of the daemon of VM $2" $? 0
}
# One entry for each stop, in the failure domain of the leaving VM.
ENTRIES=(5 7 9 11 13)
start_in_flight_vms back back back back back back back back back back

begin_round 5
stop 5
sleep 0.2
remove_entry
expect_answers "entry stops before"
expect_stopped "entry stops before" 5
restore_entry
expect_used "entry stops before" 1

begin_round 7
remove_entry
sleep 0.2
stop 7
expect_answers "entry stops after"
expect_stopped "entry stops after" 7
restore_entry
expect_used "entry stops after" 1

begin_round 9
stop 9
put_item op/evacuate/z1 '{}'
expect_answers "entry stops beside an evacuation"
expect_stopped "entry stops beside an evacuation" 9
delete_item op/evacuate/z1
expect_used "entry stops beside an evacuation" 1

begin_round 11
remove_entry
sleep 0.2
stop 11
put_server $LEAVING_VM i-reused back ready
sleep 0.2
delete_item servers/i-reused
restore_entry
expect_answers "entry stops, address used again"
expect_stopped "entry stops, address used again" 11
expect_used "entry stops, address used again" 1

begin_round 1
remove_entry
sleep 0.2
stop $LEAVING_VM
expect_answers "guard stops after"
expect_stopped "guard stops after" $LEAVING_VM
start_vm_daemon $LEAVING_VM front
restore_entry
expect_used "guard stops after" 1

begin_round 1
stop $LEAVING_VM
sleep 0.2
remove_entry
expect_answers "guard stops before"
expect_stopped "guard stops before" $LEAVING_VM
start_vm_daemon $LEAVING_VM front
restore_entry
expect_used "guard stops before" 1

begin_round 13
stop 13
stop $LEAVING_VM
sleep 0.2
remove_entry
expect_answers "both stop"
expect_stopped "both stop" 13
expect_stopped "both stop" $LEAVING_VM

# The server of the VM itself states that it leaves, in a health check, while all
# of its slots are in use, one by a request of its VM, and another one waits. To
# give up the first at the end of the stop ends the second as well.
start_vm_daemon $LEAVING_VM front
restore_entry
expect_used "both stop" 1
delete_item servers/i-$OTHER_VM
state() { # PARAMETER
	curl -sf "http://$(ip_of $LEAVING_VM):$APP_PORT/test?$1" >/dev/null ||
		fail "cannot configure the server of VM $LEAVING_VM"
}
state limit=1000 # the guard asks a server with a statement once a second
set_server_ms 9000
sleep 0.3
METHOD=GET DEADLINE_MS=20000 begin_round $LEAVING_VM /l/again /l/slow/first
fill=()
for n in $(seq $((SLOTS - 1))); do
	METHOD=GET DEADLINE_MS=20000 send 1 "f$ROUND-$n" /l/slow/fill &
	fill+=($!)
done
is_full() { [ "$(ran_at $LEAVING_VM f$ROUND)" = $((SLOTS - 1)) ]; }
wait_for 3 is_full || fail "the server of VM $LEAVING_VM is not full"
METHOD=GET DEADLINE_MS=20000 send $LEAVING_VM "w$ROUND-1" /l/slow/waits &
waits=$!
sleep 0.3
state leaving=1
has_read() { grep -q event=backend_leaving "$WORK/daemon-m$LEAVING_VM.err"; }
wait_for 3 has_read || fail "VM $LEAVING_VM does not read the statement"
stop $LEAVING_VM
wait $waits
expect "the request that waited ends as not run" \
	"$(awk -v id="w$ROUND-1" '$1 == id { print $2 }' "$WORK/round.log")" 503
expect_stopped "own requests" $LEAVING_VM
wait "${SENDS[@]}" "${fill[@]}"
