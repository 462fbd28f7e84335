# Functions for multi-process tests: a platform stand-in, backend servers and
# daemons on free loopback ports. Source it with BUILD set to a build folder.
# Everything that was started ends with the script.

set -uo pipefail

BIN=$BUILD/bin
WORK=$(mktemp -d)
SECRET=test-fleet-secret-0123456789
PIDS=()
BODY=
declare -A PID_OF CALLER_OF ADMIN_OF ONWARD_OF BACKEND_OF PEER_OF SERVICE_OF DOMAIN_OF BACKEND_ARGS
# With PARTITIONS=1 each failure domain D has its own addresses 127.0.D.N, and
# stand-ins for the network between the daemons and before the platform.
PARTITIONS=${PARTITIONS:-0}
declare -A NET_OF=() PLATFORM_OF=()
LINK_ROUTES=()
PLATFORM_ROUTES=()

cleanup() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait >/dev/null 2>&1
	rm -rf "$WORK"
}
trap cleanup EXIT

fail() {
	echo "FAILED: $*" >&2
	for log in "$WORK"/*.err; do
		[ -s "$log" ] || continue
		echo "--- $(basename "$log")" >&2
		tail -5 "$log" >&2
	done
	exit 1
}

# Ports below the range that the system gives to outgoing connections.
next_port=$((12000 + ($$ * 37) % 15000))
free_port() {
	while :; do
		next_port=$((next_port + 1))
		if ! grep -qi ":$(printf %04X "$next_port") " \
			/proc/net/tcp /proc/net/tcp6; then
			PORT=$next_port
			return
		fi
	done
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# start NAME COMMAND...: runs in the background with its output in WORK.
start() {
	local name=$1
	shift
	: >"$WORK/$name.out"
	case $name in
	# Daemons log to standard output; logs go on over a restart.
	daemon-*) "$@" >>"$WORK/$name.err" 2>&1 & ;;
	*) "$@" >"$WORK/$name.out" 2>>"$WORK/$name.err" & ;;
	esac
	PID_OF[$name]=$!
	PIDS+=($!)
	# The shell reports the end of jobs that it knows; only daemons are
	# waited for.
	case $name in
	daemon-*) ;;
	*) disown ;;
	esac
}

has_address() {
	grep -qs '^listening=' "$WORK/$1.out"
}

address_of() {
	wait_for 10 has_address "$1" || fail "$1 does not listen"
	sed -n 's/^listening=//p' "$WORK/$1.out" | head -1
}

start_platform() {
	start platform "$BIN/fake_platform" "$@"
	PLATFORM=$(address_of platform)
}

# publish FOLDER VERSION: renders a set and puts it to the platform.
publish() {
	put_parts "$1" "$2"
	put bilberryhinge/manifest "$WORK/published-$2/manifest"
}

# put_parts FOLDER VERSION: the same without the manifest.
put_parts() {
	local out=$WORK/published-$2 part puts=()
	rm -rf "$out"
	"$BIN/bilberryhinge" render --version "$2" --out "$out" "$1" \
		>"$WORK/render.log" 2>&1 || fail "render: $(cat "$WORK/render.log")"
	for part in "$out"/parts/*; do
		puts+=(--next -sf -X PUT -H "Content-Type:" --data-binary "@$part"
			"http://$PLATFORM/v1/kv/bilberryhinge/parts/$(basename "$part")")
	done
	curl --fail-early "${puts[@]:1}" >/dev/null || fail "put parts of $2"
}

put() {
	curl -sf -X PUT --data-binary "@$2" -H "Content-Type:" \
		"http://$PLATFORM/v1/kv/$1" >/dev/null || fail "put $1"
}

# Gives a VM an address of its failure domain and a route from the address in
# the configuration to the one on which its daemon listens.
assign_domain_address() {
	local vm=$1 domain=$2 ip
	[ -n "${NET_OF[$domain]:-}" ] ||
		NET_OF[$domain]=127.0.$((${#NET_OF[@]} + 1)).
	ip=${NET_OF[$domain]}$((${#VMS[@]} + 1))
	PUBLISHED=$ip:$PORT
	free_port
	PEER_OF[$vm]=$ip:$PORT
	LINK_ROUTES+=(--route "$PUBLISHED=${PEER_OF[$vm]}")
}

# load_set FOLDER: copies a set and gives each VM a free peer port.
load_set() {
	local line vm old
	SET=$WORK/set
	rm -rf "$SET"
	cp -r "$1" "$SET"
	chmod -R u+w "$SET"
	VMS=()
	while read -r line; do
		vm=$(sed 's/.*"name": "\([^"]*\)".*/\1/' <<<"$line")
		old=$(sed 's/.*"peer_address": "\([^"]*\)".*/\1/' <<<"$line")
		free_port
		SERVICE_OF[$vm]=$(sed 's/.*"service": "\([^"]*\)".*/\1/' <<<"$line")
		DOMAIN_OF[$vm]=$(sed 's/.*"failure_domain": "\([^"]*\)".*/\1/' <<<"$line")
		PUBLISHED=127.0.0.1:$PORT
		PEER_OF[$vm]=$PUBLISHED
		[ "$PARTITIONS" = 0 ] || assign_domain_address "$vm" "${DOMAIN_OF[$vm]}"
		sed -i "s/\"$old\"/\"$PUBLISHED\"/" "$SET/topology.json"
		VMS+=("$vm")
	done < <(grep '"kind": "vm"' "$SET/topology.json")
}

start_backend() {
	local vm=$1
	# shellcheck disable=SC2086
	start "backend-$vm" "$BIN/fake_backend" --listen "${BACKEND_OF[$vm]}" \
		--name "${SERVICE_OF[$vm]}" --onward "${ONWARD_OF[$vm]}" \
		--log-executions ${BACKEND_ARGS[${SERVICE_OF[$vm]}]:-}
}

start_daemon() {
	local vm=$1
	start "daemon-$vm" env BILBERRYHINGE_FLEET_SECRET="$SECRET" \
		"$BIN/bilberryhinged" --vm "$vm" --domain "${DOMAIN_OF[$vm]}" \
		--caller-listen "${CALLER_OF[$vm]}" \
		--onward-listen "${ONWARD_OF[$vm]}" \
		--admin-listen "${ADMIN_OF[$vm]}" \
		--peer-listen "${PEER_OF[$vm]}" \
		--backend "${BACKEND_OF[$vm]}" \
		--platform "${PLATFORM_OF[${DOMAIN_OF[$vm]}]:-$PLATFORM}" \
		"${DAEMON_ARGS[@]}"
}
DAEMON_ARGS=(--drain-seconds 10)

start_vm() {
	local vm=$1 name
	for name in CALLER_OF ONWARD_OF ADMIN_OF BACKEND_OF; do
		free_port
		eval "$name[\$vm]=127.0.0.1:$PORT"
	done
	start_backend "$vm"
	start_daemon "$vm"
}

is_ready() {
	curl -sf "http://${ADMIN_OF[$1]}/ready" >/dev/null
}

wait_ready() {
	local vm
	for vm in "$@"; do
		wait_for 20 is_ready "$vm" || fail "$vm is not ready"
	done
}

is_settled() {
	local status
	status=$(curl -sf "http://${ADMIN_OF[$1]}/status") || return 1
	grep -q '"claims_ready": true' <<<"$status" &&
		grep -q '"shares_ready": true' <<<"$status"
}

# wait_settled VM...: until the VMs accept the idempotency keys made from now
# on and hand out their shares of the accounts' rates.
wait_settled() {
	local vm
	for vm in "$@"; do
		wait_for 30 is_settled "$vm" || fail "$vm does not settle"
	done
}

# objects FILE: the objects of a configuration file, one a line.
objects() {
	grep '"kind"' "$1" | sed 's/,$//'
}

# write_objects FILE: makes a configuration file of the objects on the input.
write_objects() {
	local body
	body=$(sed '$!s/$/,/')
	printf '{"schema": 2, "objects": [\n%s\n]}\n' "$body" >"$1"
}

# keep_vms VM...: leaves only these VMs in the set, and the services, routes
# and failure domains that have one of them.
keep_vms() {
	local vm services=() domains=()
	for vm in "$@"; do
		services+=(-e "\"service\": \"${SERVICE_OF[$vm]}\"")
		services+=(-e "\"kind\": \"service\", \"name\": \"${SERVICE_OF[$vm]}\"")
		domains+=(-e "\"name\": \"${DOMAIN_OF[$vm]}\"")
	done
	{
		objects "$SET/topology.json" | grep '"kind": "region"'
		objects "$SET/topology.json" | grep '"failure_domain", "name"' |
			grep "${domains[@]}"
		for vm in "$@"; do
			objects "$SET/topology.json" |
				grep "\"kind\": \"vm\", \"name\": \"$vm\""
		done
	} | write_objects "$SET/topology.new"
	mv "$SET/topology.new" "$SET/topology.json"
	for file in services routes; do
		objects "$SET/$file.json" | grep "${services[@]}" |
			write_objects "$SET/$file.new"
		mv "$SET/$file.new" "$SET/$file.json"
	done
	VMS=("$@")
}

# set_state KIND NAME STATE: changes the state of an object in the set.
set_state() {
	sed -i "/\"kind\": \"$1\", \"name\": \"$2\"/s/\"state\": \"[a-z]*\"/\"state\": \"$3\"/" \
		"$SET"/*.json
}

# put_vms [VM...]: publishes the platform's list of VMs, these as leaving.
put_vms() {
	local vm state
	for vm in "${VMS[@]}"; do
		state=live
		case " $* " in
		*" $vm "*) state=leaving ;;
		esac
		printf '{"name":"%s","state":"%s"},' "$vm" "$state"
	done | sed 's/^/{"vms":[/; s/,$/]}/' >"$WORK/vms"
	put platform/vms "$WORK/vms"
}

# Starts the network between daemons, and one between them and the platform
# that tells failure domains apart by the address on which they call it.
start_links() {
	local domain
	for domain in "${!NET_OF[@]}"; do
		free_port
		PLATFORM_OF[$domain]=${NET_OF[$domain]}200:$PORT
		PLATFORM_ROUTES+=(--route
			"${PLATFORM_OF[$domain]}=$PLATFORM,${NET_OF[$domain]}200")
	done
	start link "$BIN/fake_link" "${LINK_ROUTES[@]}"
	start platform-link "$BIN/fake_link" "${PLATFORM_ROUTES[@]}"
	LINK=$(address_of link)
	PLATFORM_LINK=$(address_of platform-link)
}

send_link_command() {
	curl -sf -X PUT --data-binary "$2" "http://$1" >/dev/null ||
		fail "$1 $2"
}

# cut_domain DOMAIN [MODE]: cuts it off from the other failure domains and from the platform.
cut_domain() {
	local net=${NET_OF[$1]} other
	for other in "${NET_OF[@]}"; do
		[ "$other" = "$net" ] || send_link_command "$LINK/v1/cut" \
			"source=$net"$'\n'"dest=$other"$'\n'"mode=${2:-drop}"
	done
	send_link_command "$PLATFORM_LINK/v1/cut" \
		"source=$net"$'\n'"dest=127.0.0."$'\n'"mode=${2:-drop}"
}

heal() {
	send_link_command "$LINK/v1/heal" ""
	send_link_command "$PLATFORM_LINK/v1/heal" ""
}

# start_fleet FOLDER [VM...]: the platform, and a backend and a daemon for each
# VM of the set, or for the named part of it.
start_fleet() {
	local vm
	load_set "$1"
	shift
	[ $# -eq 0 ] || keep_vms "$@"
	start_platform
	[ "$PARTITIONS" = 0 ] || start_links
	publish "$SET" 1
	for vm in "${VMS[@]}"; do
		start_vm "$vm"
	done
	wait_ready "${VMS[@]}"
	wait_settled "${VMS[@]}"
}

# start_caller NAME VM [OPTIONS]: load on the daemon of a VM.
start_caller() {
	local name=$1 vm=$2
	shift 2
	start "caller-$name" "$BIN/fake_caller" \
		--target "${CALLER_OF[$vm]}" --label "$name" "$@"
}

# caller_count NAME KEY: a count of a running or ended caller, 0 when absent.
caller_count() {
	local out=$WORK/caller-$1.out value
	value=$(curl -s "http://$(address_of "caller-$1")/" || cat "$out")
	value=$(sed -n "s/^$2=//p" <<<"$value")
	echo "${value:-0}"
}

has_ended() {
	grep -q '^planned=' "$WORK/caller-$1.out"
}

# count_executions VM [PATTERN]: work that started at the backend server.
count_executions() {
	grep '^executed ' "$WORK/backend-$1.out" | grep -c -- "${2:-}"
}

# executions_exceed VM COUNT: whether more work than COUNT started there.
executions_exceed() {
	[ "$(count_executions "$1")" -gt "$2" ]
}

# mark: remembers now; at SECONDS: waits until that long after the mark.
start_timer() {
	TIMER_START_MS=$(date +%s%3N)
}

wait_until_elapsed() {
	local left=$((TIMER_START_MS + $1 * 1000 - $(date +%s%3N)))
	[ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

version_of() {
	curl -sf "http://${ADMIN_OF[$1]}/status" |
		sed -n 's/^ *"version": \([0-9]*\).*/\1/p' | head -1
}

has_version() {
	[ "$(version_of "$1")" = "$2" ]
}

counter_of() {
	curl -sf "http://${ADMIN_OF[$1]}/counters" |
		awk -v name="$2" '$1 == name { print $2; found = 1 }
			END { if (!found) print 0 }'
}

# A UUIDv7 made now, as an idempotency key.
new_key() {
	local ms hex
	ms=$(printf %012x "$(date +%s%3N)")
	hex=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
	echo "${ms:0:8}-${ms:8:4}-7${hex:0:3}-8${hex:3:3}-${hex:6:12}"
}

# request METHOD VM PATH [CURL ARGUMENTS]: sets STATUS, HEADERS and BODY.
request() {
	local method=$1 vm=$2 path=$3
	shift 3
	STATUS=$(curl -s -m 20 -X "$method" -o "$WORK/body" -D "$WORK/headers" \
		-w '%{http_code}' "$@" "http://${CALLER_OF[$vm]}$path")
	BODY=$(cat "$WORK/body" 2>/dev/null)
	HEADERS=$(tr -d '\r' <"$WORK/headers" 2>/dev/null)
}

header_value() {
	sed -n "s/^$1: //Ip" <<<"$HEADERS" | head -1
}

expect() {
	[ "$2" = "$3" ] || fail "$1: expected '$3', got '$2' ($BODY)"
	echo "ok   $1"
}

# Sums the executions that the backend servers of a service report.
executions_of_service() {
	local vm sum=0 n
	for vm in "${VMS[@]}"; do
		[ "${SERVICE_OF[$vm]}" = "$1" ] || continue
		n=$(grep -c '^executed ' "$WORK/backend-$vm.out")
		sum=$((sum + n))
	done
	echo "$sum"
}
