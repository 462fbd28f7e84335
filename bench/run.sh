#!/usr/bin/env bash
# Runs the benchmarks of a build folder. Prints one line for each figure.
set -euo pipefail
build=$1
runs=()
for scenario in surge flood flood_large cold_restart cold_silent; do
	for deployment in lakeshore zawadzki; do
		for policy in ours no_control fixed_limits; do
			runs+=("$scenario $deployment $policy")
		done
	done
done
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
printf '%s\n' "${runs[@]}" | nl -nrz -w3 | xargs -P 4 -L 1 bash -c \
	'"$0" "$3" "$4" "$5" >"$1/$2"' "$build/bench/bench_overload" "$out"
cat "$out"/*
"$build/bench/rate_bench"
# Measures real processes last, when nothing else runs.
bash "$(dirname "$0")/path.sh" "$build"
