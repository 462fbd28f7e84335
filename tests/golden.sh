# Functions that record sessions and compare them with golden files. Source it
# after lib.sh. A session is a list of steps; each step shows the caller's
# request and answer and then what every other interface saw because of it.

GOLDEN=$(dirname "${BASH_SOURCE[0]}")/golden
# Messages whose number and order depend on timing. They appear once for each
# kind, at the end of a session.
BACKGROUND='type=(hello|heartbeat|rate_ask|rate_grant|config_[a-z]*) '
declare -A SHOWN

# start_session NAME
start_session() {
	SESSION=$1
	SHOWN=()
	: >"$WORK/transcript"
	: >"$WORK/names"
}

say() {
	printf '%s\n' "$*" >>"$WORK/transcript"
}

indented() {
	sed 's/^/  /; s/ *$//' >>"$WORK/transcript"
}

# call_name TEXT NAME: shows the text under a name.
call_name() {
	printf '%s\t%s\n' "$1" "$2" >>"$WORK/names"
}

name_addresses() {
	local vm
	for vm in "${VMS[@]}"; do
		call_name "${PEER_OF[$vm]}" "$vm peer"
		call_name "${ONWARD_OF[$vm]}" "$vm onward"
		call_name "${BACKEND_OF[$vm]}" "$vm backend"
		call_name "${CALLER_OF[$vm]}" "$vm caller"
	done
	call_name "$PLATFORM" platform
	call_name "$WORK" work
}

# name_hashes FOLDER TEXT: names the hashes of a published form.
name_hashes() {
	local name hash
	call_name "$(b2sum -l 256 <"$1/manifest" | cut -d' ' -f1)" \
		"hash of manifest $2"
	sed -n 's/.*{"name":"\([^"]*\)","hash":"\([^"]*\)".*/\1 \2/p' \
		"$1/manifest" | while read -r name hash; do
		grep -q "^$hash" "$WORK/names" ||
			call_name "$hash" "hash of $name $2"
	done
}

# Removes the failure domains without a VM, as they would never report.
drop_empty_domains() {
	local domain
	for domain in $(sed -n 's/.*"failure_domain", "name": "\([^"]*\)".*/\1/p' "$1"); do
		grep -q "\"failure_domain\": \"$domain\"" "$1" ||
			sed -i "/\"failure_domain\", \"name\": \"$domain\"/d" "$1"
	done
}

# small_set FOLDER VM...: a copy with these VMs, their services and routes.
small_set() {
	local folder=$1 vm service keep_vms='' keep_services=''
	shift
	for vm in "$@"; do
		service=${vm%-*}
		keep_vms+="|\"name\": \"$vm\""
		keep_services+="|\"(name|service)\": \"$service\""
	done
	SMALL=$WORK/small
	rm -rf "$SMALL"
	cp -r "$folder" "$SMALL"
	chmod -R u+w "$SMALL"
	sed -Ei "/\"kind\": \"vm\"/{/${keep_vms#|}/!d}" "$SMALL/topology.json"
	drop_empty_domains "$SMALL/topology.json"
	sed -Ei "/\"kind\": /{/${keep_services#|}/!d}" \
		"$SMALL/services.json" "$SMALL/routes.json"
	sed -i -z 's/},\n\]}/}\n]}/' "$SMALL"/*.json
}

# messages VM: the messages on its peer interface, without time and level.
messages() {
	sed -n 's/.* event=peer_message_\(sent\|received\) /\1 /p' \
		"$WORK/daemon-$1.err"
}

received_work() {
	grep -v '^listening\|^executed' "$WORK/backend-$1.out"
}

# At a deadline the entry sends a cancel and the guard an answer; which of them
# is first, and so whether both are sent, depends on timing.
step_messages() {
	messages "$1" | grep -vE "$BACKGROUND|type=cancel |reason=deadline "
}

size_of_logs() {
	local vm
	for vm in "${VMS[@]}"; do
		step_messages "$vm"
		received_work "$vm"
	done | wc -l
}

# Waits until no daemon and no backend server sees anything more.
wait_quiet() {
	local before=-1 now
	now=$(size_of_logs)
	while [ "$now" != "$before" ]; do
		before=$now
		sleep 0.4
		now=$(size_of_logs)
	done
}

# show_new TITLE COMMAND...: what a command prints beyond the last time.
show_new() {
	local title=$1 seen
	shift
	"$@" >"$WORK/all"
	seen=${SHOWN[$title]:-0}
	SHOWN[$title]=$(wc -l <"$WORK/all")
	[ "${SHOWN[$title]}" -gt "$seen" ] || return 0
	say "$title"
	tail -n "+$((seen + 1))" "$WORK/all" | indented
}

show_effects() {
	local vm
	wait_quiet
	for vm in "${VMS[@]}"; do
		show_new "backend interface of $vm" received_work "$vm"
	done
	for vm in "${VMS[@]}"; do
		show_new "peer interface of $vm" step_messages "$vm"
	done
}

# show_answer: status line, headers and body of the last answer. The length of
# a body with a jittered time varies, and at a deadline the entry and the guard
# word the detail differently.
show_answer() {
	local vary=''
	grep -qE '"retry_after_ms":[1-9]|"reason":"deadline"' <<<"$BODY" &&
		vary='s/^Content-Length: .*/Content-Length: <n>/
			/"reason":"deadline"/s/"detail":"[^"]*"/"detail":<text>/'
	say "answer"
	{
		printf '%s\n' "$HEADERS"
		printf '%s\n' "${BODY:0:300}"
	} | sed "$vary" | indented
}

# show_request METHOD VM PATH [CURL ARGUMENTS]
show_request() {
	say "caller interface of $2"
	say "  $1 $3"
	shift 3
	while [ $# -gt 0 ]; do
		case $1 in
		-H | -d) say "  ${2:0:100}" ;;
		esac
		shift 2
	done
}

# play TITLE METHOD VM PATH [CURL ARGUMENTS]: one step of a session.
play() {
	say ""
	say "== $1"
	shift
	show_request "$@"
	request "$@"
	show_answer
	show_effects
}

background_messages() {
	messages "$1" | grep -E "$BACKGROUND" |
		sed -E 's/ (id|incarnation|sequence|holder)=.*//; s/ vm=.*//' |
		sed -E 's/ load=.*//; s/ (account|version)=.*//' | sort -u
}

platform_calls() {
	grep '^called' "$WORK/platform.out" | sed 's/index=[0-9]*/index=N/' |
		perl "$GOLDEN/../normalise.pl" "$WORK/names" | sort -u
}

# Counters of messages and bytes, of asks for rates, of the change of arbiters
# and of the messages at a deadline depend on timing.
fixed_counters() {
	curl -s "http://${ADMIN_OF[$1]}/counters" |
		grep -vE '^(peer_|rate_|arbiter_|answers_late|guard_cancelled)'
}

show_admin() {
	local vm=$1
	say ""
	say "== admin interface of $vm"
	say "/status"
	curl -s "http://${ADMIN_OF[$vm]}/status" | indented
	say "/counters"
	fixed_counters "$vm" | indented
	say "/spans"
	curl -s "http://${ADMIN_OF[$vm]}/spans" | indented
}

# end_session VM...: shows the admin interfaces and the rest, then compares.
end_session() {
	local vm
	for vm in "$@"; do
		show_admin "$vm"
	done
	say ""
	say "== background"
	for vm in "$@"; do
		say "peer interface of $vm, each kind once"
		background_messages "$vm" | indented
	done
	say "platform interface, each call once"
	platform_calls | indented
	compare_session
}

# Compares with the golden file, or writes it with RECORD set.
compare_session() {
	local golden=$GOLDEN/session_$SESSION.txt
	perl "$GOLDEN/../normalise.pl" "$WORK/names" "$WORK/transcript" \
		>"$WORK/normalised"
	if grep -n "$SECRET" "$WORK/normalised"; then
		fail "the fleet secret is in the transcript"
	fi
	if [ -n "$RECORD" ]; then
		cp "$WORK/normalised" "$golden"
		echo "recorded $golden"
		return
	fi
	diff -u "$golden" "$WORK/normalised" ||
		fail "session $SESSION differs from $golden"
	echo "ok   session $SESSION"
}

# Ends all processes, so that the next session starts anew.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait >/dev/null 2>&1
	PIDS=()
	rm -f "$WORK"/*.out "$WORK"/*.err
}
