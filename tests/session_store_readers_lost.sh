#!/usr/bin/env bash
# The two daemons that read the store for their failure domain get no response
# from it, and no other failure domain is in reach. The other daemons reach the
# store.
# Guards against a withdrawn key that works on at daemons which follow a relay
# that knows nothing new.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
APPLY_S=2 # a change must be in force after this time
STABLE_S=3 # daemons count as in touch this long after a cut
VM_COUNT=5
RELAY_COUNT=2
ZONE=z0

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
version=2
publish_keys() { # KEYS
	version=$((version + 1))
	put_config "$(printf %08d $version)" "$1" 1000
}
# Sets relays and others to the VMs that read the store and those that do not.
find_relays() {
	local m before=() change
	for m in $(seq $VM_COUNT); do before[m]=$(calls_of "$m"); done
	for change in 1 2 3 4; do
		publish_keys "[\"k1\",\"k2\",\"c$change\"]"
		sleep 0.5
	done
	relays=()
	others=()
	for m in $(seq $VM_COUNT); do
		if [ "$(calls_of "$m")" -gt $((before[m] + 1)) ]; then
			relays+=("$m")
		else
			others+=("$m")
		fi
	done
	expect "number of daemons that read the store" "${#relays[@]}" \
		$RELAY_COUNT
}
expect_status() { # KEY STATUS WHEN VM...
	local key=$1 status=$2 when=$3 m
	shift 3
	for m in "$@"; do
		expect "$key at VM $m $when" "$(status_of "$m" "$key")" "$status"
	done
}

start_store
publish_keys '["k1","k2"]'
start_store_links $VM_COUNT
start_vms front front front front back
sleep 2
for mode in drop hold; do
	find_relays
	expect_status k2 200 "before" "${others[@]}"
	cut_store $mode "${relays[@]}"
	sleep 0.5
	publish_keys '["k1"]'
	sleep $APPLY_S
	expect_status k2 401 "withdrawn while its relays lost the store ($mode)" \
		"${others[@]}"
	expect_status k1 200 "meanwhile" "${others[@]}" "${relays[@]}"
	heal_store
	sleep $((STABLE_S + APPLY_S))
	expect_status k2 401 "afterwards" $(seq $VM_COUNT)
done
sleep 8 # the last watches of the other daemons end
find_relays
