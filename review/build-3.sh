#!/usr/bin/env bash
# Builds the project's stand-ins and those of this review for the scripts of
# review/11 to review/15, all under build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-3 -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBH_TESTS=ON \
	>/dev/null
cmake --build build/review-3 -j"$(nproc)" --target fake_store fake_app \
	fake_link fake_clients
for program in orders; do
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra \
		-o "build/review-3/bin/$program" "review/standins-3/$program.c"
done
