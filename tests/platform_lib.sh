# Functions for tests on the users' platform: a fake store, fake application
# servers with instance ids, and daemons with --dialect=platform. Source this
# file after lib.sh. VMs are numbered from 1.

export BILBERRYHINGE_FLEET_SECRET=$SECRET

# Each VM has its own loopback address; the ports are the same on all VMs. VM_NET
# sets another network for runs beside each other.
free_port; STORE=127.0.0.1:$PORT
free_port; APP_PORT=$PORT
free_port; CALLER_PORT=$PORT
free_port; READY_PORT=$PORT
free_port; PEER_PORT=$PORT
free_port; ADMIN_PORT=$PORT
# Addresses of the store by VM, where they differ.
declare -A STORE_OF=()
ip_of() { echo "${VM_NET:-127.0.7}.$1"; }

put_item() { # KEY BODY
	curl -sf -X PUT --data-binary "$2" "http://$STORE/test/item?key=$1" \
		>/dev/null || fail "the fake store rejected the item $1"
}

# The failure domain is that of the VM number unless ZONE is set.
put_server() { # VM_NUMBER ID SERVICE STATE
	put_item "servers/$2" "{\"address\":\"$(ip_of "$1"):$APP_PORT\",
		\"born\":1700000000000,\"info\":{\"service\":\"$3\",
		\"version\":\"v1\",\"zone\":\"${ZONE:-z$(($1 % 2))}\",\"slots\":20},
		\"status\":{\"state\":\"$4\",\"sequence\":${SEQUENCE:-1},
		\"cold_left\":\"0ms\"}}"
}

put_config() { # VERSION KEYS RATE
	put_item op/config "{\"version\":\"$1\",
	\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",
	\"timeout\",\"priority\",\"max_attempts\",\"public\",\"service\"],
	\"rows\":[[\"browse\",\"a.example\",\"/b/\",\"safe\",\"2s\",2,2,false,
	\"front\"],[\"single\",\"a.example\",\"/s/\",\"safe\",\"1s\",2,1,false,
	\"front\"],[\"order\",\"a.example\",\"/o/\",\"unsafe\",\"2s\",0,2,
	false,\"front\"],[\"inner\",\"a.example\",\"/i/\",\"safe\",\"2s\",1,2,
	true,\"back\"]]},
	\"services\":{\"columns\":[\"name\",\"health_path\",
	\"max_connections\",\"cold_start\",\"cold_per_s\"],\"rows\":[
	[\"front\",\"/health\",100,\"3s\",16],
	[\"back\",\"/health\",100,\"3s\",16]]},
	\"limits\":{\"max_header_bytes\":8192,\"header_timeout\":\"3s\",
	\"idle_timeout\":\"15s\",\"max_body_bytes\":1000000},
	\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"rate_per_s\",
	\"burst\"],\"rows\":[[\"t1\",$2,$3,$3]]}}"
}

start_vm_daemon() { # VM_NUMBER SERVICE
	start "daemon-m$1" "$BIN/bilberryhinged" --dialect=platform \
		--vm="$(ip_of "$1")" \
		--domain="${ZONE:-z$(($1 % 2))}" --service="$2" \
		--caller-listen="$(ip_of "$1"):$CALLER_PORT" \
		--ready-listen="$(ip_of "$1"):$READY_PORT" \
		--peer-listen="$(ip_of "$1"):$PEER_PORT" \
		--admin-listen="$(ip_of "$1"):$ADMIN_PORT" \
		--onward-listen=127.0.0.1:0 \
		--backend="$(ip_of "$1"):$APP_PORT" \
		--platform="${STORE_OF[$1]:-$STORE}" \
		--drain-seconds=6s
}

is_serving() {
	curl -sf "http://$(ip_of "$1"):$READY_PORT/-/ready" >/dev/null
}

start_store() {
	start store "$BIN/fake_store" "$STORE"
	wait_for 10 curl -sf "http://$STORE/-/kv-range?prefix=" -o /dev/null ||
		fail "the fake store does not listen after 10 s"
}

# start_store_links COUNT: gives each of so many VMs a way to the store of its
# own, so that it can be cut off from the store alone. To be called before
# start_vms.
start_store_links() {
	local m routes=()
	free_port
	for m in $(seq "$1"); do
		STORE_OF[$m]=$(ip_of $((100 + m))):$PORT
		routes+=(--route "${STORE_OF[$m]}=$STORE,$(ip_of $((100 + m)))")
	done
	start store-link "$BIN/fake_link" "${routes[@]}"
	STORE_LINK=$(address_of store-link)
}

# cut_store MODE VM...: MODE is drop, hold or close.
cut_store() {
	local mode=$1 m
	shift
	for m in "$@"; do
		send_link_command "$STORE_LINK/v1/cut" \
			"source=$(ip_of $((100 + m)))"$'\n'"dest=127.0.0."$'\n'"mode=$mode"
	done
}

heal_store() {
	send_link_command "$STORE_LINK/v1/heal" ""
}

# start_vms SERVICE...: starts a fake application server with the id i-N and a
# daemon on VM N for each service, and waits until all VMs serve. The store must
# run and have a configuration.
start_vms() {
	local m=0 service
	for service in "$@"; do
		m=$((m + 1))
		start "app-$m" "$BIN/fake_app" "$(ip_of $m):$APP_PORT" "i-$m" \
			"$service"
		put_server $m "i-$m" "$service" ready
		start_vm_daemon $m "$service"
	done
	for m in $(seq $#); do
		wait_for 10 is_serving "$m" ||
			fail "VM $m is not ready after 10 s"
	done
	sleep 4 # the daemons hand out rates some seconds after their start
}
