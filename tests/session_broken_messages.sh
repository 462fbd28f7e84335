#!/usr/bin/env bash
# Other daemons send answers, and answers kept for an idempotency key, that are
# none in HTTP/1.1: a status that is no final one, or a header that cannot be
# written. A backend server sends one for a request with a key.
# Guards against callers that get such an answer, and against an unsafe request
# that runs again, or is refused as not run, on its word.
BUILD=$1
. "$(dirname "$0")/lib.sh"
TESTS=$(dirname "$0")
KEY=bhk_ls1_example-secret-ls1
REQUESTS=0
LOST=0

runs_of() { cat "$WORK"/fake-*.out "$WORK"/backend-*.out | grep -c "id=$1 "; }
# Sets STATUS, HEADERS, ID and RUNS of a request of the entry.
send() { # METHOD PATH [CURL ARGUMENTS]
	REQUESTS=$((REQUESTS + 1))
	ID=r$REQUESTS
	request "$1" catalogue-1 "$2" -H "Authorization: Bearer $KEY" \
		-H "X-Request-Id: $ID" "${@:3}"
	RUNS=$(runs_of "$ID")
}
key_of() { "$BIN/fake_key" central-library "$1" "${VMS[@]}"; }
answer_with() { # LINES of the stand-ins' file
	printf "$1" >"$WORK/answer.new"
	mv "$WORK/answer.new" "$WORK/answer"
}
# A peer whose answer was broken may be taken for lost before.
ends_as_lost() { # METHOD RUNS_MAX NAME
	if [ "$1" = GET ]; then
		send GET /reservations/x
	else
		send POST /reservations/x -d x \
			-H "Idempotency-Key: $(key_of reservations-1)"
	fi
	[ "$RUNS" -le "$2" ] || fail "$3: $1 ran $RUNS times"
	case $STATUS,$RUNS,$(header_value Bilberryhinge-Outcome) in
	502,[12],unknown) return 0 ;;
	503,0,not-run) return 1 ;;
	*) fail "$3: $1 gave $STATUS after $RUNS runs: $HEADERS" ;;
	esac
}
expect_no_answer() { # NAME LINES
	answer_with "$2"
	wait_for 10 ends_as_lost POST 1 "$1" || fail "$1: no peer got the POST"
	wait_for 10 ends_as_lost GET 2 "$1" || fail "$1: no peer got the GET"
	LOST=$((LOST + 2))
	echo "ok   $1"
}
expect_no_kept_answer() { # NAME LINES
	answer_with "$2"
	send POST /reservations/x -d x \
		-H "Idempotency-Key: $(key_of reservations-1)"
	expect "$1 in a kept answer" "$STATUS $RUNS" "502 0"
	expect "$1 in a kept answer: outcome" \
		"$(header_value Bilberryhinge-Outcome)" unknown
	LOST=$((LOST + 1))
}
is_sound() {
	send POST /reservations/x -d x \
		-H "Idempotency-Key: $(key_of reservations-1)"
	[ "$STATUS $RUNS" = "200 1" ]
}

start_backend() { # VM: servers whose path selects the answer
	start "backend-$1" perl "$TESTS/faulty_server.pl" "${BACKEND_OF[$1]}" \
		"$1" "$WORK/health"
}

load_set "$TESTS/../examples/lakeshore"
keep_vms catalogue-1 reservations-1 reservations-2 returns-1
start_platform
publish "$SET" 1
answer_with "status=200\n"
for vm in reservations-1 reservations-2; do
	start "fake-$vm" env BILBERRYHINGE_FLEET_SECRET="$SECRET" \
		"$BIN/fake_peer" "${PEER_OF[$vm]}" "$vm" \
		"${DOMAIN_OF[$vm]}" "$WORK/answer"
done
start_vm catalogue-1
start_vm returns-1
wait_ready catalogue-1 returns-1
wait_settled catalogue-1
wait_for 20 is_sound || fail "a sound answer of a peer is not passed on"

for status in 0 1 99 100 101 199 600 999 1000 20000 4294967295; do
	expect_no_answer "a status of $status" "status=$status\n"
	expect_no_answer "a refusal of status $status" \
		"status=$status\noutcome=1\nreason=no_server\n"
	expect_no_kept_answer "a status of $status" "stored=$status\n"
done
for name in 'X Y' 'X\tY' 'X ' 'X\x01' 'X:' '' 'Content Length'; do
	expect_no_answer "the name '$name'" "name=$name\nvalue=1\n"
	expect_no_kept_answer "the name '$name'" "stored=200\nname=$name\n"
done
for value in '\x01' 'a\rb' '\x7f'; do
	expect_no_answer "the value '$value'" "name=X\nvalue=$value\n"
	expect_no_kept_answer "the value '$value'" "stored=200\nname=X\nvalue=$value\n"
done
answer_with "name=X\nvalue=1\n"
wait_for 10 is_sound || fail "sound answers are not passed on any more"
answer_with "stored=200\nname=X\nvalue=1\n"
send POST /reservations/x -d x -H "Idempotency-Key: $(key_of reservations-1)"
expect "a sound kept answer" "$STATUS $RUNS" "200 0"

grep -q "event=answer_invalid .* vm=reservations-[12] status=" \
	"$WORK/daemon-catalogue-1.err" || fail "a broken message is not logged"

# A server's answer to a request with a key. Its outcome is unknown, so the key
# stays in use and no answer is kept for it.
hex() { printf "$1" | od -An -v -tx1 | tr -d ' \n'; }
post_return() { # KEY PATH
	send POST "/returns/$2/x" -d x -H "Idempotency-Key: $1"
}
is_server_sound() { # a server may be taken for one that died
	post_return "$(key_of catalogue-1)" sound
	[ "$STATUS $RUNS" = "200 1" ]
}
wait_settled returns-1
answer_with ""
for line in "000 None" "0200 OK" "99 None" "600 None" " 200 OK" '200 O\x01K'; do
	for owner in catalogue-1 returns-1; do
		wait_for 20 is_server_sound ||
			fail "'$line': the server is not used"
		path=raw-$(hex "HTTP/1.1 $line\r\nContent-Length: 2\r\n\r\nab")
		key=$(key_of $owner)
		post_return "$key" "$path"
		expect "'$line' with a key" "$STATUS $RUNS" "502 1"
		post_return "$key" "$path"
		expect "'$line' with the key again" "$STATUS $RUNS" "409 0"
		expect "'$line' with the key again: outcome" \
			"$(header_value Bilberryhinge-Outcome)" unknown
		LOST=$((LOST + 1))
	done
done
wait_for 20 is_server_sound || fail "the server is not used any more"
# A request whose server seems to die of it would be refused from then on.
expect "broken answers are no deaths" "$(counter_of returns-1 backend_deaths)" 0
key=$(key_of returns-1)
post_return "$key" sound
post_return "$key" sound
expect "a sound answer is kept" "$STATUS $RUNS" "200 0"
echo "ok   $LOST requests with broken answers ended as lost"
