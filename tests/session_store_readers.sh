#!/usr/bin/env bash
# Two relays of each failure domain read the store, the other daemons get the
# changes from them. Guards against calls to the store that grow with the VMs,
# and against changes that are not in force in time when the relays of a failure
# domain are killed or suspended at the moment of the change.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
# A change must be in force everywhere this long after it was published.
APPLY_S=2
VM_COUNT=10
RELAY_COUNT=4 # two in each of two failure domains

status_of() { # VM KEY
	curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer $2" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: r$RANDOM$RANDOM" -w '%{http_code}' \
		"http://$(ip_of "$1"):$CALLER_PORT/b/x"
}
calls_of() { # VM
	curl -sf "http://$(ip_of "$1"):$ADMIN_PORT/metrics" |
		awk '$1 ~ /registry_calls(\{|$)/ { print int($2) }'
}
all_calls() {
	local m
	for m in $(seq $VM_COUNT); do calls_of "$m"; done
}
version=2
publish_key() { # KEY
	version=$((version + 1))
	put_config "$(printf %08d $version)" "[\"k1\",\"$1\"]" 1000
}
# A request may reach a suspended VM and end with 504; a key that is not in force
# is refused with 401 before.
expect_key() { # KEY WHEN VM...
	local key=$1 when=$2 m status
	shift 2
	for m in "$@"; do
		status=$(status_of "$m" "$key")
		[[ $status =~ ^(200|503|504)$ ]] ||
			fail "the key is not in force at VM $m $when: $status"
	done
	echo "ok   a change is in force at VMs $* $when"
}

start_store
publish_key k2
start_vms front front front front front front back back back back

mapfile -t before < <(all_calls)
for change in 1 2 3 4 5 6 7 8; do
	publish_key "c$change"
	sleep 0.5
done
sleep $((APPLY_S - 1))
mapfile -t after < <(all_calls)
expect_key c8 "after a series of changes" $(seq $VM_COUNT)
relays=()
others=()
for m in $(seq $VM_COUNT); do
	if [ "${after[m - 1]}" -gt "${before[m - 1]}" ]; then
		relays+=("$m")
	else
		others+=("$m")
	fi
done
expect "number of daemons that read the store" "${#relays[@]}" $RELAY_COUNT

signal_relays() { # SIGNAL
	local m
	for m in "${relays[@]}"; do
		kill "-$1" "${PID_OF[daemon-m$m]}"
	done
}
signal_relays STOP
publish_key stopped
sleep $APPLY_S
expect_key stopped "while all relays are suspended" "${others[@]}"
signal_relays CONT
sleep 3
expect_key stopped "after the relays resumed" $(seq $VM_COUNT)

publish_key resumed
sleep $APPLY_S
expect_key resumed "after relays read again" $(seq $VM_COUNT)

signal_relays KILL
publish_key killed
sleep $APPLY_S
expect_key killed "as all relays were killed" "${others[@]}"
for m in "${relays[@]}"; do
	service=front
	[ "$m" -gt 6 ] && service=back
	start_vm_daemon "$m" $service
done
for m in "${relays[@]}"; do
	wait_for 10 is_serving "$m" || fail "VM $m is not ready after 10 s"
done
publish_key restarted
sleep $APPLY_S
expect_key restarted "after the relays started again" $(seq $VM_COUNT)
