#!/usr/bin/env bash
# The parsers of bytes from outside get the committed corpus and a bounded number
# of random changes of it. Guards against crashes and undefined behaviour on
# hostile bytes, and against requests whose bounds depend on how bytes arrive.
# INPUTS=10000000 SEED=2 runs longer and elsewhere.
set -euo pipefail
BUILD=$(realpath "$1")
cd "$(dirname "$0")/../fuzz/corpus"
for target in *; do
	"$BUILD/bin/fuzz" --seed "${SEED:-1}" --inputs "${INPUTS:-20000}" \
		"$target" "$target"
done
