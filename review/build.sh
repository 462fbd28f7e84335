#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. The daemon itself
# comes from the build of deploy/system.toml (target/bin).
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBH_TESTS=ON >/dev/null
cmake --build build/review -j8 --target fake_store fake_app
