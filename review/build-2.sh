#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# target/review-2. The daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review-2 -j8 --target fake_store >/dev/null
