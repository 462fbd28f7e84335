# Functions for the scripts of review/11 to review/15. Source this file in the
# folder of the repository. Starts the daemons with the command of
# deploy/system.toml, and the stand-ins of build/review-3. All processes that
# were started are killed when the script exits.
#
# Exit codes of a script: 1 the rule was broken, 0 it held, 2 it could not run.

set -uo pipefail

TROUBLE=${TROUBLE:-1}
STANDINS=build/review-3/bin
DAEMON=target/bin/bilberryhinged
export BILBERRYHINGE_FLEET_SECRET=inside-the-platform-only
WORK=$(mktemp -d)
declare -A PID_OF=()
PIDS=()

cleanup() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	[ -z "${KEEP:-}" ] || cp -r "$WORK" "$KEEP"
	rm -rf "$WORK"
}
trap cleanup EXIT

cannot_run() {
	echo "cannot run: $*" >&2
	exit 2
}

for program in "$DAEMON" "$STANDINS/fake_store" "$STANDINS/fake_app"; do
	[ -x "$program" ] || cannot_run "$program is not built"
done

next_port=$((13000 + ($$ * 41) % 15000))
# Sets PORT to a port that is free on all loopback addresses.
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

# start NAME COMMAND...: in the background, output in WORK/NAME.out.
start() {
	local name=$1
	shift
	"$@" >>"$WORK/$name.out" 2>>"$WORK/$name.err" &
	PID_OF[$name]=$!
	PIDS+=($!)
	disown
}

# wait_for SECONDS COMMAND...
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# Milliseconds of the clock that the stand-ins print (boot time).
now_ms() {
	awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}

# Each VM has a loopback address; the ports are the same on all VMs.
free_port; STORE_PORT=$PORT
STORE=127.0.0.1:$STORE_PORT
free_port; APP_PORT=$PORT
free_port; CALLER_PORT=$PORT
free_port; READY_PORT=$PORT
free_port; PEER_PORT=$PORT
free_port; ADMIN_PORT=$PORT
ip_of() { echo "127.0.${VM_NET:-31}.$1"; }

put_item() { # KEY BODY
	curl -sf -X PUT --data-binary "$2" \
		"http://$STORE/test/item?key=$1" >/dev/null ||
		cannot_run "the store stand-in rejected $1"
}

remove_item() { # KEY
	curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null ||
		cannot_run "the store stand-in rejected the removal of $1"
}

# put_server VM ID SERVICE STATE ZONE [SEQUENCE [COLD_LEFT]]
put_server() {
	put_item "servers/$2" "{\"address\":\"$(ip_of "$1"):$APP_PORT\",
\"born\":$(date +%s%3N),\"info\":{\"service\":\"$3\",\"version\":\"v1\",
\"zone\":\"$5\",\"slots\":108},\"status\":{\"state\":\"$4\",
\"sequence\":${6:-1},\"cold_left\":\"${7:-0ms}\"}}"
}

start_daemon() { # VM SERVICE ZONE
	local ip
	ip=$(ip_of "$1")
	start "daemon-$1" "$DAEMON" --dialect=platform --vm="$ip" \
		--domain="$3" --region=great-lakes --service="$2" \
		--caller-listen="$ip:$CALLER_PORT" \
		--ready-listen="$ip:$READY_PORT" \
		--peer-listen="${PEER_IP:-$ip}:$PEER_PORT" \
		--admin-listen="$ip:$ADMIN_PORT" \
		--onward-listen=127.0.0.1:0 --backend="$ip:$APP_PORT" \
		--platform="127.0.32.$1:$PLATFORM_PORT" --drain-seconds=6s --leave-seconds=2000ms \
		--conditions=base,drain,config,cost,retry,recover,pressure,tenants,quota,places,platform
}

is_ready() { # VM
	curl -sf -o /dev/null "http://$(ip_of "$1"):$READY_PORT/-/ready"
}

start_app() { # NAME VM ID SERVICE
	start "$1" "$STANDINS/fake_app" "$(ip_of "$2"):$APP_PORT" "$3" "$4"
}

# Each VM reaches the store through a proxy of its own, so that it can be cut
# off from the store alone.
start_store() { # VM...
	local m routes=()
	start store "$STANDINS/fake_store" "$STORE"
	free_port; PLATFORM_PORT=$PORT
	free_port; LINK=127.0.0.1:$PORT
	for m in "$@"; do
		routes+=(--route "127.0.32.$m:$PLATFORM_PORT=$STORE,127.0.32.$m")
	done
	start link "$STANDINS/fake_link" --listen "$LINK" "${routes[@]}"
	wait_for 5 curl -sf "http://$LINK/v1/stats" -o /dev/null ||
		cannot_run "the proxy does not listen"
	wait_for 5 curl -sf "http://$STORE/-/kv-range?prefix=" -o /dev/null ||
		cannot_run "the store stand-in does not listen"
}

# cut_store MODE [VM...]: drop, hold or close; without VMs, for all.
cut_store() {
	local mode=$1 m
	shift
	[ $# -gt 0 ] || set -- ""
	for m in "$@"; do
		curl -sf -X PUT --data-binary \
			"source=127.0.32.$m"$'\n'"dest=127.0.0."$'\n'"mode=$mode" \
			"http://$LINK/v1/cut" >/dev/null ||
			cannot_run "the proxy rejected a cut"
	done
}

heal_store() {
	curl -sf -X PUT --data-binary "" "http://$LINK/v1/heal" >/dev/null ||
		cannot_run "the proxy rejected the heal"
}
