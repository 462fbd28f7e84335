# Functions for multi-process tests: start a fake platform, fake backend servers
# and daemons on free loopback ports. Source this file with BUILD set to a build
# directory. All processes are killed when the script exits. KEEP_LOGS names a
# folder that the logs are copied to then.

set -uo pipefail

BIN=$BUILD/bin
WORK=$(mktemp -d)
SECRET=test-fleet-secret-0123456789
PIDS=()
BODY=
declare -A PID_OF CALLER_OF ADMIN_OF ONWARD_OF BACKEND_OF PEER_OF SERVICE_OF DOMAIN_OF BACKEND_ARGS
# With PARTITIONS=1 each failure domain D has its own addresses 127.0.D.N, and
# fake network links run between the daemons and between daemons and platform,
# so that a test can cut off a domain.
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
	[ -z "${KEEP_LOGS:-}" ] || cp -r "$WORK" "$KEEP_LOGS"
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

# Free ports are searched below the range of ephemeral ports.
next_port=$((12000 + ($$ * 37) % 15000))
# Sets PORT to a free port.
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

# wait_for SECONDS COMMAND...: repeats the command until it succeeds, or fails
# after this time.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# start NAME COMMAND...: runs the command in the background with its output in
# WORK/NAME.out and WORK/NAME.err, and sets PID_OF[NAME].
start() {
	local name=$1
	shift
	: >"$WORK/$name.out"
	case $name in
	# Daemons log to standard output. A restarted process appends to the
	# log.
	daemon-*) "$@" >>"$WORK/$name.err" 2>&1 & ;;
	*) "$@" >"$WORK/$name.out" 2>>"$WORK/$name.err" & ;;
	esac
	PID_OF[$name]=$!
	PIDS+=($!)
	# Without disown the shell prints a message when a job is killed. Only
	# daemons stay jobs, as tests wait for them.
	case $name in
	daemon-*) ;;
	*) disown ;;
	esac
}

has_address() {
	grep -qs '^listening=' "$WORK/$1.out"
}

address_of() {
	wait_for 10 has_address "$1" || fail "$1 does not listen after 10 s"
	sed -n 's/^listening=//p' "$WORK/$1.out" | head -1
}

start_platform() {
	start platform "$BIN/fake_platform" "$@"
	PLATFORM=$(address_of platform)
}

# publish FOLDER VERSION: renders a configuration set and stores it on the
# platform, the parts before the manifest.
publish() {
	put_parts "$1" "$2"
	put bilberryhinge/manifest "$WORK/published-$2/manifest"
}

# put_parts FOLDER VERSION: renders a set and stores only its parts.
put_parts() {
	local out=$WORK/published-$2 part puts=()
	rm -rf "$out"
	"$BIN/bilberryhinge" render --version "$2" --out "$out" "$1" \
		>"$WORK/render.log" 2>&1 ||
			fail "cannot render version $2: $(cat "$WORK/render.log")"
	for part in "$out"/parts/*; do
		puts+=(--next -sf -X PUT -H "Content-Type:" --data-binary "@$part"
			"http://$PLATFORM/v1/kv/bilberryhinge/parts/$(basename "$part")")
	done
	curl --fail-early "${puts[@]:1}" >/dev/null ||
		fail "cannot store the parts of version $2"
}

# put KEY FILE: stores a file under a key on the platform.
put() {
	curl -sf -X PUT --data-binary "@$2" -H "Content-Type:" \
		"http://$PLATFORM/v1/kv/$1" >/dev/null ||
			fail "cannot store $1 on the platform"
}

# assign_domain_address VM DOMAIN: gives the VM a published address within its
# failure domain, a separate address for its daemon to listen on, and a link
# route from the published address to that one.
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

# load_set FOLDER: copies a configuration set to SET, gives each VM a free peer
# port, and fills VMS, SERVICE_OF, DOMAIN_OF and PEER_OF.
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
# Further arguments of every daemon.
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
		wait_for 20 is_ready "$vm" || fail "$vm is not ready after 20 s"
	done
}

is_settled() {
	local status
	status=$(curl -sf "http://${ADMIN_OF[$1]}/status") || return 1
	grep -q '"claims_ready": true' <<<"$status" &&
		grep -q '"shares_ready": true' <<<"$status"
}

# wait_settled VM...: waits until the VMs accept newly created idempotency keys
# and distribute their shares of the rate limits.
wait_settled() {
	local vm
	for vm in "$@"; do
		wait_for 30 is_settled "$vm" ||
			fail "$vm is not settled after 30 s"
	done
}

# objects FILE: prints the objects of a configuration file, one per line.
objects() {
	grep '"kind"' "$1" | sed 's/,$//'
}

# write_objects FILE: writes the objects on standard input, one per line, as a
# configuration file.
write_objects() {
	local body
	body=$(sed '$!s/$/,/')
	printf '{"schema": 2, "objects": [\n%s\n]}\n' "$body" >"$1"
}

# keep_vms VM...: removes all other VMs from the set, and all services, routes
# and failure domains without one of these VMs.
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

# put_vms [VM...]: publishes the platform's VM list with these VMs in state
# leaving and all others live.
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

# Starts one fake network link between the daemons and one between daemons and
# platform. The platform link identifies the failure domain of a connection by
# the address that the daemon connects to.
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

# send_link_command ADDRESS/PATH BODY: sends a command to a fake link.
send_link_command() {
	curl -sf -X PUT --data-binary "$2" "http://$1" >/dev/null ||
		fail "the fake link rejected $1 $2"
}

# cut_domain DOMAIN [MODE]: cuts the network between a failure domain and the
# other domains and the platform. MODE is drop (default), hold or close.
cut_domain() {
	local net=${NET_OF[$1]} other
	for other in "${NET_OF[@]}"; do
		[ "$other" = "$net" ] || send_link_command "$LINK/v1/cut" \
			"source=$net"$'\n'"dest=$other"$'\n'"mode=${2:-drop}"
	done
	send_link_command "$PLATFORM_LINK/v1/cut" \
		"source=$net"$'\n'"dest=127.0.0."$'\n'"mode=${2:-drop}"
}

# Removes all cuts.
heal() {
	send_link_command "$LINK/v1/heal" ""
	send_link_command "$PLATFORM_LINK/v1/heal" ""
}

# start_fleet FOLDER [VM...]: starts the fake platform, and a backend server and
# a daemon for each VM of the set, or for the named VMs only; waits until all of
# them are settled.
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

# start_caller NAME VM [OPTIONS]: starts a load generator against the daemon of
# a VM.
start_caller() {
	local name=$1 vm=$2
	shift 2
	start "caller-$name" "$BIN/fake_caller" \
		--target "${CALLER_OF[$vm]}" --label "$name" "$@"
}

# caller_count NAME KEY: prints a count of a running or finished load generator,
# 0 if it has no such count.
caller_count() {
	local out=$WORK/caller-$1.out value
	value=$(curl -s "http://$(address_of "caller-$1")/" || cat "$out")
	value=$(sed -n "s/^$2=//p" <<<"$value")
	echo "${value:-0}"
}

has_ended() {
	grep -q '^planned=' "$WORK/caller-$1.out"
}

# count_executions VM [PATTERN]: prints how many requests the backend server has
# started to run; with PATTERN, only those whose log line matches it.
count_executions() {
	grep '^executed ' "$WORK/backend-$1.out" | grep -c -- "${2:-}"
}

# executions_exceed VM COUNT: succeeds when the backend server has started more
# than COUNT requests.
executions_exceed() {
	[ "$(count_executions "$1")" -gt "$2" ]
}

# start_timer stores the current time; wait_until_elapsed SECONDS waits until
# this long after it.
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

# counter_of VM NAME: prints a counter of the daemon, 0 if it has no such
# counter.
counter_of() {
	curl -sf "http://${ADMIN_OF[$1]}/counters" |
		awk -v name="$2" '$1 == name { print $2; found = 1 }
			END { if (!found) print 0 }'
}

# Prints an idempotency key: a UUIDv7 with the current time.
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

# header_value NAME: prints a header of the last response.
header_value() {
	sed -n "s/^$1: //Ip" <<<"$HEADERS" | head -1
}

# expect TEXT ACTUAL EXPECTED: fails unless both values are equal.
expect() {
	[ "$2" = "$3" ] || fail "$1: expected '$3', got '$2' ($BODY)"
	echo "ok   $1"
}

# executions_of_service SERVICE: prints the number of requests that all backend
# servers of the service have started to run.
executions_of_service() {
	local vm sum=0 n
	for vm in "${VMS[@]}"; do
		[ "${SERVICE_OF[$vm]}" = "$1" ] || continue
		n=$(grep -c '^executed ' "$WORK/backend-$vm.out")
		sum=$((sum + n))
	done
	echo "$sum"
}
