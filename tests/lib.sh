# Functions for multi-process tests: a platform stand-in, backend servers and
# daemons on free loopback ports. Source it with BUILD set to a build folder.
# Everything that was started ends with the script.

set -uo pipefail

BIN=$BUILD/bin
WORK=$(mktemp -d)
SECRET=test-fleet-secret-0123456789
PIDS=()
declare -A PID_OF CALLER_OF ADMIN_OF ONWARD_OF BACKEND_OF PEER_OF SERVICE_OF DOMAIN_OF BACKEND_ARGS

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
	"$@" >"$WORK/$name.out" 2>>"$WORK/$name.err" &
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
	grep -q '^listening=' "$WORK/$1.out"
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
	local out=$WORK/published-$2 part
	rm -rf "$out"
	"$BIN/bilberryhinge" render --version "$2" --out "$out" "$1" \
		>"$WORK/render.log" 2>&1 || fail "render: $(cat "$WORK/render.log")"
	for part in "$out"/parts/*; do
		put "bilberryhinge/parts/$(basename "$part")" "$part"
	done
	put bilberryhinge/manifest "$out/manifest"
}

put() {
	curl -sf -X PUT --data-binary "@$2" -H "Content-Type:" \
		"http://$PLATFORM/v1/kv/$1" >/dev/null || fail "put $1"
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
		sed -i "s/\"$old\"/\"127.0.0.1:$PORT\"/" "$SET/topology.json"
		PEER_OF[$vm]=127.0.0.1:$PORT
		SERVICE_OF[$vm]=$(sed 's/.*"service": "\([^"]*\)".*/\1/' <<<"$line")
		DOMAIN_OF[$vm]=$(sed 's/.*"failure_domain": "\([^"]*\)".*/\1/' <<<"$line")
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
		--backend "${BACKEND_OF[$vm]}" --platform "$PLATFORM" \
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

# start_fleet FOLDER: the platform, and a backend and a daemon for each VM.
start_fleet() {
	local vm
	load_set "$1"
	start_platform
	publish "$SET" 1
	for vm in "${VMS[@]}"; do
		start_vm "$vm"
	done
	wait_ready "${VMS[@]}"
	wait_settled "${VMS[@]}"
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
