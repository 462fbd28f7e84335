#!/usr/bin/env bash
# Backend servers and the store send answers whose head is none in HTTP/1.1: a
# status that is not three digits in range, a field name with a blank or a control
# byte, a field value with a control byte, or chunks with other line ends.
# Guards against callers that get such an answer, against an unsafe request that
# is sent again or refused as not run on its word, and against a server or a store
# that is believed on it.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
TESTS=$(dirname "$0")
REQUESTS=0
LOST=0

hex() { printf "$1" | od -An -v -tx1 | tr -d ' \n'; }
runs_of() { cat "$WORK"/app-*.out | grep -c "^run id=$1 "; }
send() { # PATH ID: prints the status
	curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer ${KEY:-k1}" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: $2" -w "%{http_code}" \
		"http://$(ip_of 1):$CALLER_PORT$1"
}
# Whether a request that gets these bytes reaches a server; it must end as one that
# may have run. It may not reach one that was taken for lost before.
ends_as_lost() { # ROUTE HEX NAME
	local id status runs
	REQUESTS=$((REQUESTS + 1))
	id=r$REQUESTS
	status=$(send "/$1/raw-$2/x" "$id")
	runs=$(runs_of "$id")
	[ "$1$runs" != o2 ] || fail "$3: an unsafe request ran twice"
	case $status,$runs in
	502,[12]) return 0 ;;
	503,0) return 1 ;;
	*) fail "$3: route $1 gave $status after $runs runs" ;;
	esac
}
expect_no_answer() { # NAME BYTES [ROUTES]
	local route bytes
	bytes=$(hex "$2")
	for route in ${3:-b o}; do
		wait_for 10 ends_as_lost $route "$bytes" "$1" ||
			fail "$1: no request of route $route reached a server"
		LOST=$((LOST + 1))
	done
}
is_sound() { REQUESTS=$((REQUESTS + 1)); [ "$(send /o/x "r$REQUESTS")" = 200 ]; }

SEALED='X-Request-Id: {id}\r\nX-Server-Seal: s\r\n'
SOUND="HTTP/1.1 200 OK\r\n${SEALED}Content-Length: 2\r\n\r\nab"
final() { # STATUS_LINE [LINES]
	echo "$1\r\n${2:-}${SEALED}Content-Length: 2\r\n\r\nab"
}
not_run() { # STATUS_LINE [LINES]
	final "$1" "${2:-}X-Not-Executed: 1\r\n"
}

RELAY_STORE=$STORE
free_port; STORE=127.0.0.1:$PORT
start_store
start store-relay perl "$TESTS/answer_relay.pl" "$RELAY_STORE" "$STORE" \
	"$WORK/store-line"
put_config 00000003 '["k1"]' 10000
for m in 1 2; do
	start app-$m perl "$TESTS/faulty_server.pl" "$(ip_of $m):$APP_PORT" i-$m \
		"$WORK/health-$m"
	put_server $m i-$m front ready
	STORE=$RELAY_STORE start_vm_daemon $m front
done
for m in 1 2; do
	wait_for 10 is_serving $m || fail "VM $m is not ready after 10 s"
done
sleep 4 # the daemons hand out rates some seconds after their start
wait_for 10 is_sound || fail "a sound answer is not passed on"
REQUESTS=$((REQUESTS + 1))
expect "an interim answer and then a sound one" "$(send \
	"/o/raw-$(hex "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n$SOUND")/x" \
	"r$REQUESTS")" 200
# A length in the head of an answer that has no body is none of its body.
for line in "204 No Content" "304 Not Modified"; do
	REQUESTS=$((REQUESTS + 1))
	expect "a length in '$line'" "$(send "/o/raw-$(hex \
		"HTTP/1.1 $line\r\n${SEALED}Content-Length: 2\r\n\r\n")/x" \
		"r$REQUESTS")" "${line%% *}"
done
REQUESTS=$((REQUESTS + 1))
expect "a length in an interim answer" "$(send "/o/raw-$(hex \
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n$SOUND")/x" \
	"r$REQUESTS")" 200

STATUS_LINES=("000 None" "0 None" "00 None" "1 None" "20 OK" "099 None"
	"0200 OK" "2000 OK" "00200 OK" "600 None" "999 None" " 200 OK" "200"
	"+200 OK" "2 0 0 OK" "2OO OK" "200OK" '200 O\x01K' '\x01200 OK')
for line in "${STATUS_LINES[@]}"; do
	expect_no_answer "'$line'" "$(final "HTTP/1.1 $line")"
done
for line in "000 None" "099 None" "10 Continue" "0100 Continue" "1000 Continue" \
	" 100 Continue" "100"; do
	expect_no_answer "'$line' as an interim answer" \
		"HTTP/1.1 $line\r\n\r\n$SOUND"
done
for line in "000 None" "0503 No" "50 No" "5030 No" " 503 No" "503" "0421 No" \
	"4210 No" "999 No"; do
	expect_no_answer "'$line' with a claim" "$(not_run "HTTP/1.1 $line")" o
done
expect_no_answer "a version that is none" "$(final "HTTP/1.10 200 OK")"
echo "ok   status lines"
expect_logged() { # TEXT
	grep -q "$1" "$WORK"/daemon-m*.err || fail "no line has $1"
}
expect_logged "event=backend_answer_invalid request=r"

FIELD_LINES=("X Y: 1" 'X\tY: 1' "X : 1" 'X\x01: 1' '\x01X: 1' 'X\x7f: 1'
	" X: 1" ": 1" "X" "Content-Length : 1" "Content Length: 1"
	'Content-Length\x01: 1' "Transfer-Encoding : chunked"
	'Transfer-Encoding\x0b: chunked' "Connection : close")
for line in "${FIELD_LINES[@]}"; do
	expect_no_answer "'$line'" "$(final "HTTP/1.1 200 OK" "$line\r\n")"
	expect_no_answer "'$line' in a refusal" \
		"$(not_run "HTTP/1.1 503 No" "$line\r\n")" o
	expect_no_answer "'$line' in an interim answer" \
		"HTTP/1.1 103 Early Hints\r\n$line\r\n\r\n$SOUND"
done
for name in "X-Not-Executed :" "X-Not Executed:" 'X-Not-Executed\x01:'; do
	expect_no_answer "'$name'" "$(final "HTTP/1.1 503 No" "$name 1\r\n")" o
done
for line in 'X: \x01' 'X: \x1b[0m' 'X:\x7f' 'X: a\x01'; do
	expect_no_answer "'$line'" "$(final "HTTP/1.1 200 OK" "$line\r\n")"
	expect_no_answer "'$line' in a refusal" \
		"$(not_run "HTTP/1.1 503 No" "$line\r\n")" o
done
echo "ok   names and values of fields"
CHUNKED="HTTP/1.1 200 OK\r\n${SEALED}Transfer-Encoding: chunked\r\n\r\n"
REQUESTS=$((REQUESTS + 1))
wait_for 10 is_sound || fail "sound answers are not passed on any more"
expect "a chunked body with a trailer" "$(send "/o/raw-$(hex \
	"${CHUNKED}2;x\r\nab\r\n0\r\nX: 1\r\n\r\n")/x" "r$REQUESTS")" 200
for body in '2\r\nabXX0\r\n\r\n' '2\rXab\r\n0\r\n\r\n' '2 \r\nab\r\n0\r\n\r\n' \
	'2\r\nab\r\n0\r\n\rX' '2\r\nab\r\n0\r\nX: 1\n\n' \
	'2\r\nab\r\n0\r\nX: 1\r\n Y: 1\r\n\r\n' '2\r\nab\r\n0\r\nX Y: 1\r\n\r\n'; do
	expect_no_answer "'$body'" "$CHUNKED$body"
done
echo "ok   chunked bodies"
wait_for 10 is_sound || fail "sound answers are not passed on any more"

# A 421 makes a daemon hold its server until that has said who it is.
event_count() { cat "$WORK"/daemon-m*.err | grep -c "event=$1 "; }
is_held() {
	REQUESTS=$((REQUESTS + 1))
	send "/b/raw-$(hex "$(not_run 'HTTP/1.1 421 No')")/x" "r$REQUESTS" >/dev/null
	[ "$(event_count backend_held)" -gt "$HELD" ]
}
are_ready() {
	[ $(($(event_count backend_ready) - READY)) = \
		$(($(event_count backend_held) - HELD)) ]
}
expect_no_identity() { # NAME STATUS_LINE [LINES]
	local m
	HELD=$(event_count backend_held)
	READY=$(event_count backend_ready)
	for m in 1 2; do
		printf "HTTP/1.1 $2\r\n${3:-}X-Instance-Id: i-$m\r\n%s" \
			$'Content-Length: 0\r\n\r\n' >"$WORK/health-$m.new"
		mv "$WORK/health-$m.new" "$WORK/health-$m"
	done
	wait_for 10 is_held || fail "$1: no server is held"
	sleep 0.5
	expect "$1 in a health check" "$(event_count backend_ready)" "$READY"
	rm "$WORK/health-1" "$WORK/health-2"
	wait_for 10 are_ready || fail "$1: the servers are not asked again"
	wait_for 10 is_sound || fail "$1: the servers are not used again"
}
for line in "000 None" "0200 OK" "2000 OK" " 200 OK" "200"; do
	expect_no_identity "'$line'" "$line"
done
for line in "X Y: 1" 'X\x01: 1' "Content-Length : 0" 'X: \x01'; do
	expect_no_identity "'$line'" "200 OK" "$line\r\n"
done
echo "ok   health checks"
expect_logged "event=backend_check_invalid"

# Each configuration brings another key. The former one stays in force until the
# store answers soundly.
VERSION=3
has_key() { REQUESTS=$((REQUESTS + 1)); [ "$(KEY=$1 send /o/x "r$REQUESTS")" = 200 ]; }
expect_no_read() { # STATUS_LINE
	printf "$1" >"$WORK/store-line"
	VERSION=$((VERSION + 1))
	put_config 0000000$VERSION "[\"k1\",\"k$VERSION\"]" 10000
	sleep 1.5
	! has_key k$VERSION || fail "'$1': what the store answered was taken"
	rm "$WORK/store-line"
	wait_for 10 has_key k$VERSION || fail "'$1': the store is not read again"
}
for line in "HTTP/1.1 0200 OK" "HTTP/1.1  200 OK" "HTTP/1.1 200" \
	'HTTP/1.1 200 OK\r\nX Y: 1' 'HTTP/1.1 200 OK\r\nX\x01: 1' \
	'HTTP/1.1 200 OK\r\nX: \x01'; do
	expect_no_read "$line"
done
echo "ok   reads of the store"
expect_logged 'event=platform_lost why="the answer is not valid HTTP"'
wait_for 10 is_sound || fail "sound answers are not passed on any more"
echo "ok   $LOST requests with broken answers ended as lost"
