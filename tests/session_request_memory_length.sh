#!/usr/bin/env bash
# Many callers send a body of a declared length but for its last byte, and wait.
# Guards against a daemon that keeps all of the bodies and runs out of memory.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd length $MAX_BODY
