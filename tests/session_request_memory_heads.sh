#!/usr/bin/env bash
# Many callers send heads of very short headers, and the body but for its end.
# Guards against headers that are counted by their bytes and take far more.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd heads 8192
