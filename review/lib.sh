# Functions of the scripts in review/N: start the daemon with the command of
# deploy/system.toml, the project's stand-ins and small perl stand-ins, all on
# loopback addresses and free ports, with a temporary folder. Sourced by run.sh.
set -uo pipefail

REVIEW=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
ROOT=$(dirname "$REVIEW")
DAEMON=$ROOT/target/bin/bilberryhinged
FAKES=$ROOT/build/review/bin
STANDINS=$REVIEW/standins
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
PIDS=()
declare -A PID_OF
export BILBERRYHINGE_FLEET_SECRET=inside-the-platform-only

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

note() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$RECORD"; }
# The case could not run.
unfit() {
	note "could not run: $*"
	exit 2
}

for file in "$DAEMON" "$FAKES/fake_store" "$FAKES/fake_app"; do
	[ -x "$file" ] || {
		echo "missing: $file (build of the deploy file, review/build.sh)"
		exit 2
	}
done
: >"$RECORD"
note "TROUBLE=$TROUBLE"

next_port=$((12000 + ($$ * 37) % 15000))
free_port() {
	while :; do
		next_port=$((next_port + 1))
		grep -qi ":$(printf %04X "$next_port") " /proc/net/tcp \
			/proc/net/tcp6 2>/dev/null || break
	done
	PORT=$next_port
}
free_port; STORE=127.0.0.1:$PORT
free_port; APP_PORT=$PORT
free_port; CALLER_PORT=$PORT
free_port; READY_PORT=$PORT
free_port; PEER_PORT=$PORT
free_port; ADMIN_PORT=$PORT
# Each machine has a loopback address of its own; the ports are the same on all.
NET=127.0.$((20 + $$ % 200))
ip_of() { echo "$NET.$1"; }

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$WORK/$name.out" 2>&1 &
	PID_OF[$name]=$!
	PIDS+=($!)
	disown
}
wait_for() { # SECONDS COMMAND...
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# The words of `run` in deploy/system.toml, with settings as in DEPLOY.md.
start_daemon() { # MACHINE SERVICE ZONE [STORE ADDRESS]
	local ip
	ip=$(ip_of "$1")
	start "daemon-$1" "$DAEMON" --dialect=platform --vm="$ip" \
		--domain="$3" --region=great-lakes --service="$2" \
		--caller-listen="$ip:$CALLER_PORT" \
		--ready-listen="$ip:$READY_PORT" --peer-listen="$ip:$PEER_PORT" \
		--admin-listen="$ip:$ADMIN_PORT" --onward-listen=127.0.0.1:0 \
		--backend="$ip:$APP_PORT" --platform="${4:-$STORE}" \
		--drain-seconds=6s --leave-seconds=2000ms
}
is_ready() { curl -sf -m 1 "http://$(ip_of "$1"):$READY_PORT/-/ready" >/dev/null; }

start_store() {
	start store "$FAKES/fake_store" "$STORE"
	wait_for 10 curl -sf "http://$STORE/-/kv-range?prefix=" -o /dev/null ||
		unfit "the store does not listen"
}
put_item() { # KEY BODY
	curl -sf -m 5 -X PUT --data-binary "$2" \
		"http://$STORE/test/item?key=$1" >/dev/null || unfit "store: $1"
}
server_body() { # MACHINE SERVICE STATE ZONE SEQUENCE
	echo "{\"address\":\"$(ip_of "$1"):$APP_PORT\",
		\"born\":1700000000000,\"info\":{\"service\":\"$2\",
		\"version\":\"v1\",\"zone\":\"$4\",\"slots\":108},
		\"status\":{\"state\":\"$3\",\"sequence\":$5,\"cold_left\":\"0ms\"}}"
}
put_server() { # MACHINE ID SERVICE STATE ZONE SEQUENCE
	put_item "servers/$2" "$(server_body "$1" "$3" "$4" "$5" "$6")"
}
