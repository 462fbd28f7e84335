#!/usr/bin/env bash
# Many callers send a body in large chunks but for the end of it, and wait.
# Guards against a daemon that keeps all of the bodies and runs out of memory.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd chunks $MAX_BODY
