#!/usr/bin/env bash
# Runs the parsers of external input on the committed corpus and on a bounded
# number of random mutations of it. Guards against crashes and undefined
# behaviour on malicious input, and against request boundaries that depend on
# how the bytes are split into reads. INPUTS=10000000 SEED=2 runs more inputs
# with another seed.
set -euo pipefail
BUILD=$(realpath "$1")
cd "$(dirname "$0")/../fuzz/corpus"
for target in *; do
	"$BUILD/bin/fuzz" --seed "${SEED:-1}" --inputs "${INPUTS:-20000}" \
		"$target" "$target"
done
