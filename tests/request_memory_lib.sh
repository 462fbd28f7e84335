# Functions for the tests of memory for requests (session_request_memory*.sh).
# Source this file after platform_lib.sh.
#
# The smallest machine has 160 MB for bodies of up to 1 MB. The tests lower the
# limit of a body to an eighth, so a crowd may add an eighth of the machine to
# what the daemon held before it.
TESTS=$(dirname "$0")
MAX_BODY=131072
GROWTH_MB=20
CROWD=400
MAX_CONNECTIONS=256
# Those of the daemon itself: listeners, links, its server, the event loop.
OTHER_DESCRIPTORS=64
# An environment variable, as a daemon without the setting ignores it.
export BILBERRYHINGE_REQUEST_MEMORY_MB=4
# The sanitizer's build keeps freed memory for a while.
export ASAN_OPTIONS=${ASAN_OPTIONS:-detect_leaks=1}:quarantine_size_mb=1

start_small_daemon() {
	free_port; ONWARD_PORT=$PORT
	start daemon-m1 "$BIN/bilberryhinged" --dialect=platform \
		--vm="$(ip_of 1)" --domain=z1 --service=front \
		--caller-listen="$(ip_of 1):$CALLER_PORT" \
		--ready-listen="$(ip_of 1):$READY_PORT" \
		--peer-listen="$(ip_of 1):$PEER_PORT" \
		--admin-listen="$(ip_of 1):$ADMIN_PORT" \
		--onward-listen="127.0.0.1:$ONWARD_PORT" \
		--backend="$(ip_of 1):$APP_PORT" --platform="$STORE" \
		--max-body=$MAX_BODY --max-connections=$MAX_CONNECTIONS
}
daemon_is_alive() { kill -0 "${PID_OF[daemon-m1]}" 2>/dev/null; }
peak_kb() {
	awk '/VmHWM/ { print $2 }' "/proc/${PID_OF[daemon-m1]}/status"
}
descriptors() { ls "/proc/${PID_OF[daemon-m1]}/fd" | wc -l; }
ordinary_request() {
	curl -s -o "$WORK/answer" --max-time 10 -H "Host: a.example" \
		-H "Authorization: Bearer k1" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: $1" -w "%{http_code}" \
		"http://$(ip_of 1):$CALLER_PORT/b/x"
}
crowd_is_open() { grep -q '^open' "$WORK/crowd-$1.out"; }

# start_small_vm: one VM whose daemon has the lowered limits.
start_small_vm() {
	start_store
	put_config 00000003 '["k1"]' 10000
	start app-1 "$BIN/fake_app" "$(ip_of 1):$APP_PORT" i-1 front
	put_server 1 i-1 front ready
	start_small_daemon
	wait_for 10 is_serving 1 || fail "the VM is not ready after 10 s"
	sleep 4 # the daemon hands out rates some seconds after its start
	expect "a request before the crowd" "$(ordinary_request before)" 200
}

# check_crowd KIND BYTES [PORT [IP]]: sends a crowd and checks the daemon while
# the crowd is open. The caller interface is used unless a port is given.
check_crowd() {
	local kind=$1 before grown most=0 n status
	before=$(peak_kb)
	start "crowd-$kind" perl "$TESTS/request_crowd.pl" \
		"${4:-$(ip_of 1)}:${3:-$CALLER_PORT}" "$kind" $CROWD "$2"
	until crowd_is_open "$kind"; do
		daemon_is_alive || fail "$kind: the daemon has ended"
		n=$(descriptors)
		[ "$n" -le "$most" ] || most=$n
		sleep 0.1
	done
	status=$(ordinary_request "$kind")
	daemon_is_alive || fail "$kind: the daemon has ended"
	grown=$((($(peak_kb) - before) / 1024))
	echo "     $kind: grew by $grown MB, $most descriptors, status $status"
	[ "$grown" -le $GROWTH_MB ] ||
		fail "$kind: grew by $grown MB, $GROWTH_MB are allowed"
	n=$((MAX_CONNECTIONS + OTHER_DESCRIPTORS))
	[ "$most" -le $n ] || fail "$kind: $most descriptors, $n are allowed"
	expect "$kind: a request while the crowd is open" "$status" 200
	kill -KILL "${PID_OF[crowd-$kind]}"
}
