#!/usr/bin/env bash
# A backend server sends answers without end, many large ones at once, and answers
# that stop in the middle of their head; callers do not read theirs.
# Guards against daemons that keep all of it and run out of memory, and against
# answers that broke off and reach the caller as whole ones.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
TESTS=$(dirname "$0")
MEMORY_MB=160 # smallest machine of the users
# The sanitizer's build keeps freed memory for a while.
export ASAN_OPTIONS=${ASAN_OPTIONS:-detect_leaks=1}:quarantine_size_mb=1

put_wide_server() { # VM SERVICE
	put_item "servers/i-$1" "{\"address\":\"$(ip_of "$1"):$APP_PORT\",
		\"born\":1700000000000,\"info\":{\"service\":\"$2\",
		\"version\":\"v1\",\"zone\":\"z0\",\"slots\":400},
		\"status\":{\"state\":\"ready\",\"sequence\":1,
		\"cold_left\":\"0ms\"}}"
}
# Servers that take more connections at once than those of other tests.
put_wide_config() {
	local config
	config=$(put_item() { echo "$2"; }; put_config 00000003 '["k1"]' 10000)
	put_item op/config "${config//\/health\",100/\/health\",700}"
}
send() { # PATH ID: prints the status and whether the answer is whole
	curl -s -o "$WORK/answer-$2" --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer k1" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: $2" -w "%{http_code} $2\n" \
		"http://$(ip_of 1):$CALLER_PORT$1"
}
send_many() { # COUNT PATH NAME: writes the statuses to a file
	perl "$TESTS/many_requests.pl" "$(ip_of 1):$CALLER_PORT" "$3" "$2" \
		"$1" 5 read >"$WORK/$3.status"
}
statuses() { awk '{ n[$1]++ } END { for (s in n) print s, n[s] }' "$WORK/$1.status" | sort | xargs; }
peak_mb() { # VM
	awk '/VmHWM/ { print int($2 / 1024) }' "/proc/${PID_OF[daemon-m$1]}/status"
}
expect_small() { # NAME
	local m mb
	for m in 1 2; do
		mb=$(peak_mb $m)
		[ "${mb:-$MEMORY_MB}" -lt "$MEMORY_MB" ] ||
			fail "$1: VM $m took ${mb:-its end} MB, $MEMORY_MB are there"
		echo "ok   $1: VM $m peaked at $mb MB"
	done
}

answers() { [ "$(send /i/x "sound-$RANDOM" | cut -c1-3)" = 200 ]; }
# After answers without end the server may be taken for one that is down.
wait_for_server() {
	wait_for 10 answers || fail "the server is not used any more"
}

start_store
put_wide_config
start app-1 "$BIN/fake_app" "$(ip_of 1):$APP_PORT" i-1 front
start app-2 perl "$TESTS/faulty_server.pl" "$(ip_of 2):$APP_PORT" i-2 \
	"$WORK/endless-health"
put_wide_server 1 front
put_wide_server 2 back
start_vm_daemon 1 front
start_vm_daemon 2 back
for m in 1 2; do
	wait_for 10 is_serving $m || fail "VM $m is not ready after 10 s"
done
sleep 4 # the daemons hand out rates some seconds after their start
expect "a sound answer of the faulty server" "$(send /i/x sound)" "200 sound"

for kind in head header body chunks trailer; do
	wait_for_server
	send_many 20 "/i/$kind/x" "$kind"
	expect "answers without end in the $kind" "$(statuses "$kind")" "502 20"
done
wait_for_server
send_many 20 /i/after/x after
expect "bytes without end after the answer" "$(statuses after)" "200 20"
expect_small "bytes without end"

wait_for_server
send_many 250 /i/big/x big
grep -q ^200 "$WORK/big.status" && fail "an incomplete answer came as a whole one"
expect "a request beside them" "$(send /b/x beside)" "200 beside"
expect_small "250 large answers at once"

wait_for_server
# Callers that read nothing; half of the memory may wait for them.
perl "$TESTS/many_requests.pl" "$(ip_of 1):$CALLER_PORT" unread /i/whole/x 250 \
	5 unread
expect_small "250 answers that are not read"
sleep 1
expect "a request after them" "$(send /b/x after-them)" "200 after-them"

# The request ends as lost when it has reached the server. Between two losses the
# server may be taken for one that is down.
stops_after() { # BYTES
	local status
	status=$(send "/i/cut-$1/x" "cut-$1-$RANDOM")
	case $status in
	502*) return 0 ;;
	503*) return 1 ;;
	*) fail "an answer that ends after $1 bytes came as $status" ;;
	esac
}
# All bytes of the answer but the last ones, in steps that meet each line.
for n in $(seq 0 7 91); do
	wait_for 10 stops_after "$n" || fail "no request reached the server"
done
echo "ok   answers that stop in the middle"

touch "$WORK/endless-health"
kill -TERM "${PID_OF[daemon-m2]}"
wait "${PID_OF[daemon-m2]}"
start_vm_daemon 2 back
sleep 4
expect_small "health checks without end"
rm "$WORK/endless-health"
wait_for_server
echo "ok   the server is used again"
