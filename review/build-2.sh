#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# build/review-2. The daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBH_TESTS=ON >/dev/null
cmake --build build/review-2 -j8 --target fake_store >/dev/null
