#!/usr/bin/env bash
# Runs the command-line tool on the example sets and on invalid sets. The
# rendered form of one set is compared with a golden file, so that a change of
# its bytes, which makes every daemon fetch the configuration again, is visible
# in review.
set -euo pipefail
cd "$(dirname "$0")/.."
tool=$1/bin/bilberryhinge
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# expect STATUS COMMAND...: runs the tool and checks its exit status; standard
# output goes to $work/out, standard error to $work/err.
expect() {
	local wanted=$1 got=0
	shift
	"$tool" "$@" >"$work/out" 2>"$work/err" || got=$?
	if [ "$got" -ne "$wanted" ]; then
		echo "exit status $got instead of $wanted: $*"
		cat "$work/out" "$work/err"
		exit 1
	fi
}

# expect_text FILE TEXT: fails unless $work/FILE contains the text.
expect_text() {
	if ! grep -qF -- "$2" "$work/$1"; then
		echo "missing in $1: $2"
		cat "$work/$1"
		exit 1
	fi
}

# publish VERSION SET: renders a set and concatenates the files to
# $work/published.
publish() {
	expect 0 render --version "$1" --out "$work/pub" "$2"
	{
		echo "== manifest"
		cat "$work/pub/manifest"
		for part in "$work"/pub/parts/*; do
			echo "== parts/$(basename "$part")"
			cat "$part"
		done
	} >"$work/published"
}

expect 0 check examples/lakeshore
expect 0 check examples/zawadzki
for command in check render diff review explain key status; do
	expect 0 --help
	expect_text out "  $command "
	expect 0 "$command" --help
	expect_text out "Exit status"
done

publish 1 examples/lakeshore
diff -u tests/golden/lakeshore_published.txt "$work/published"
expect 0 render --json --version 1 --out "$work/pub" examples/lakeshore
expect_text out '"version": 1'

# A set of two files, one of them of schema 1, with errors in both.
cat >"$work/a.json" <<'END'
{"schema": 1, "objects": [
  {"kind": "account", "name": "a", "rate": 0, "burst": 1}
]}
END
cat >"$work/b.json" <<'END'
{"schema": 2, "objects": [
  {"kind": "key", "name": "k", "account": "b", "id": "k1", "hash": "00"}
]}
END
expect 1 check "$work"
expect_text out 'a.json: account "a" rate 0: out of range 1 to 1000000'
expect_text out 'b.json: key "k" account "b": there is no account of this name'
expect_text out '3 problems'
expect 1 check --json "$work/a.json" "$work/b.json"
expect_text out '"ok": false'
expect 1 render --version 2 --out "$work/refused" "$work"
expect_text err '3 problems'
[ ! -e "$work/refused" ]

# Control characters in names are escaped, so that a file cannot send control
# sequences to the terminal.
printf '{"schema":2,"objects":[{"kind":"region","name":"\\u001b[2J"}]}' \
	>"$work/escape.json"
expect 1 check "$work/escape.json"
expect_text out 'region "\x1b[2J" name "\u001B[2J": not 1 to 64 letters'
rm "$work/escape.json"

# Files that cannot be read or parsed and wrong arguments have exit status 2, an
# invalid configuration has 1.
echo '{"schema": 2, "objects": [' >"$work/c.json"
expect 2 check "$work"
expect_text err 'c.json:2:0: '
expect 2 check "$work/absent.json"
expect 2 check
expect 2 render --version 0 --out "$work/pub" examples/lakeshore
expect 2 render --version 1 examples/lakeshore
expect 2 render --version 1 --out "$work/a.json" examples/lakeshore
expect 2 unknown

expect 0 diff examples/lakeshore examples/lakeshore
cp -r examples/lakeshore "$work/changed"
sed -i 's/"name": "hill-branch", "rate": 60/"name": "hill-branch", "rate": 61/' \
	"$work/changed/accounts.json"
expect 1 diff examples/lakeshore "$work/changed"
[ "$(cat "$work/out")" = "~ account hill-branch rate: 60 -> 61" ]
expect 1 diff --json examples/lakeshore "$work/changed"
expect_text out '"after": 61'

# A set that is valid but has an account that nobody can use, and a set in force
# from which it differs, are reported before it is published.
expect 0 review examples/lakeshore
expect 0 review --in-force examples/lakeshore "$work/changed"
expect_text out '~ account hill-branch rate: 60 -> 61'
echo '{"schema": 2, "objects": [{"kind": "account", "name": "x", "rate": 5,
  "burst": 5, "weight": 1}]}' >"$work/unused.json"
expect 1 review examples/lakeshore "$work/unused.json"
expect_text out 'account "x" name "x": no request matches: no active key'
expect 1 review --json "$work/a.json" "$work/b.json"
expect_text out '"problems": ['
expect 2 review --in-force "$work/absent.json" examples/lakeshore

expect 0 explain --route POST:/reservations --account hill-branch \
	examples/lakeshore
expect_text out 'route      reserve (POST /reservations)'
expect_text out 'limits   60 requests/s over all VMs, burst 120, weight 1'
expect_text out 'priority   transactions, level 0'
expect_text out 'retry      non-idempotent: needs an Idempotency-Key'
expect_text out 'reservations-3'
expect 0 explain --json --route GET:/catalogue/hours examples/lakeshore
expect_text out '"open": true'
expect 1 explain --route GET:/nowhere --account hill-branch examples/lakeshore
expect 1 explain --route GET:/returns --account nobody examples/lakeshore
expect 2 explain --route GET:/returns examples/lakeshore
expect 2 explain --route /returns --account hill-branch examples/lakeshore

# The object of a new key is valid in a set and does not contain the secret.
expect 0 key --account hill-branch examples/lakeshore
secret=$(sed -n 's/^key, shown this once: bhk_[0-9a-f]*_//p' "$work/out")
object=$(tail -n 1 "$work/out")
[ "${#secret}" -eq 64 ]
[[ $object != *"$secret"* ]]
echo "{\"schema\": 2, \"objects\": [$object]}" >"$work/key.json"
expect 0 check examples/lakeshore "$work/key.json"
expect 1 key --account nobody examples/lakeshore
expect 2 key

expect 2 status --admin 127.0.0.1:1
expect_text err 'no answer'
