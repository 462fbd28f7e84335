#!/usr/bin/env bash
# Tests the fake programs themselves. A fake that miscounts or ignores a mode
# would let other tests pass for the wrong reason.
set -euo pipefail
bin=$1/bin
dir=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap cleanup EXIT

# start NAME PROGRAM ARGUMENT...: starts a fake program and sets address and
# pid.
start() {
	local name=$1
	shift
	: >"$dir/$name"
	"$bin/$1" "${@:2}" >"$dir/$name" 2>"$dir/$name.err" &
	pid=$!
	pids+=("$pid")
	for _ in $(seq 100); do
		address=$(sed -n 's/^listening=//p' "$dir/$name")
		[ -z "$address" ] || return 0
		sleep 0.05
	done
	echo "$name did not start listening within 5 s"
	exit 1
}

# http METHOD ADDRESS PATH BODY [HEADER...]: sends a request and prints the
# whole response.
http() {
	local method=$1 target=$2 path=$3 body=$4 headers="" line
	for line in "${@:5}"; do
		headers+=$line$'\r\n'
	done
	exec 3<>"/dev/tcp/${target%:*}/${target#*:}"
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' \
		"$method" "$path" "$target" >&3
	printf 'Content-Length: %d\r\n%s\r\n%s' \
		"${#body}" "$headers" "$body" >&3
	cat <&3 || true
	exec 3>&-
}

# expect TEXT NAME: fails unless standard input contains the text.
expect() {
	local all
	all=$(cat)
	case $all in
	*"$1"*) ;;
	*)
		printf '%s: expected "%s", got:\n%s\n' "$2" "$1" "$all"
		exit 1
		;;
	esac
}

start platform fake_platform
platform=$address
http GET "$platform" /v1/kv/a/b "" | expect "404" "missing key"
http PUT "$platform" /v1/kv/a/b "one" | expect "X-Index: 1" "first put"
http GET "$platform" /v1/kv/a/b "" | expect "one" "first get"
http GET "$platform" "/v1/kv/a/b?index=1&wait_ms=5000" "" >"$dir/wait" &
waiting=$!
sleep 0.2
http PUT "$platform" /v1/kv/a/b "two" | expect "X-Index: 2" "second put"
wait "$waiting"
expect "two" "long poll" <"$dir/wait"
http PUT "$platform" /v1/control stale | expect "stale" "stale mode"
http PUT "$platform" /v1/kv/a/b "three" | expect "X-Index: 3" "third put"
http GET "$platform" /v1/kv/a/b "" | expect "two" "stale read"
http PUT "$platform" /v1/control refuse | expect "refuse" "refuse mode"
http GET "$platform" /v1/kv/a/b "" | expect "503" "refused read"
http PUT "$platform" /v1/control normal | expect "normal" "normal mode"
http GET "$platform" /v1/kv/a/b "" | expect "three" "read after stale"

start deep fake_backend --name deep --slots 4 --service-us 1000
deep=$address
start top fake_backend --name top --onward "$deep" --chain /x --chain POST:/y
top=$address
http GET "$top" /work "" "X-Request-Label: one" "Bilberryhinge-Call: t" |
	expect '"label":"one"' "answer of a chain"
http GET "$top" /executions "" | expect "one 1" "executions of the first hop"
http GET "$deep" /executions "" | expect "one 2" "executions of the second hop"
http GET "$deep" /stats "" | expect "saw_authorization=0" "no secret yet"
http GET "$deep" /status-503 "" "Authorization: Bearer bhk_a_b" |
	expect "503" "chosen status"
http GET "$deep" /stats "" | expect "saw_authorization=1" "seen header"
http GET "$deep" /stats "" | expect "saw_key=1" "seen key"

"$bin/fake_caller" --target "$top" --rate 200 --duration-ms 500 --path /w \
	--label load >"$dir/caller"
expect "sent=100" "planned calls" <"$dir/caller"
expect "ok=100" "answered calls" <"$dir/caller"
expect "mismatched=0" "labels" <"$dir/caller"
http GET "$top" /stats "" | expect "executions=101" "executions under load"

# If a cut let bytes through, or a healed link did not, the partition tests
# would pass or fail for the wrong reason.
free_port=$((30000 + $$ % 2000))
start link fake_link --route "127.0.1.1:$free_port=$platform,127.0.9.1" \
	--route "127.0.2.1:$free_port=$platform"
link=$address
first=127.0.1.1:$free_port
second=127.0.2.1:$free_port
http GET "$first" /v1/kv/a/b "" | expect "three" "read through the link"
http PUT "$link" /v1/cut "source=127.0.9." | expect "400" "cut without dest"
http PUT "$link" /v1/cut $'source=127.0.9.\ndest=127.0.0.\nmode=x' |
	expect "400" "unknown mode of a cut"
for mode in drop hold close; do
	http PUT "$link" /v1/cut $'source=127.0.0.\ndest=127.0.9.\nmode='$mode |
		expect "200" "cut with $mode"
	http GET "$first" /v1/kv/a/b "" >"$dir/cut-$mode" 2>/dev/null &
	waiting=$!
	http GET "$second" /v1/kv/a/b "" | expect "three" "read beside the cut"
	sleep 0.3
	[ ! -s "$dir/cut-$mode" ] || { echo "a link cut with $mode lets bytes through"; exit 1; }
	if kill -0 "$waiting" 2>/dev/null; then ended=no; else ended=yes; fi
	case $mode:$ended in
	close:no | drop:yes | hold:yes)
		echo "cut with $mode: connection closed: $ended"
		exit 1
		;;
	esac
	http PUT "$link" /v1/heal "" | expect "200" "heal of $mode"
	wait "$waiting" || true
	[ "$mode" != hold ] || expect "three" "held bytes" <"$dir/cut-$mode"
	http GET "$first" /v1/kv/a/b "" | expect "three" "read after $mode"
done

start cold fake_backend --cold-slots 1 --cold-ms 60000 --service-us 2000000
cold=$address
cold_pid=$pid
http GET "$cold" /a "" >/dev/null &
sleep 0.1
http GET "$cold" /b "" >/dev/null
status=0
wait "$cold_pid" || status=$?
[ "$status" -eq 70 ] || { echo "overloaded cold backend: exit status $status instead of 70"; exit 1; }

start crash fake_backend
http GET "$address" /a/crash "" >/dev/null
status=0
wait "$pid" || status=$?
[ "$status" -eq 71 ] || { echo "crashed backend: exit status $status instead of 71"; exit 1; }
echo "fake programs ok"
