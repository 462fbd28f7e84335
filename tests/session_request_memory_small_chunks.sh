#!/usr/bin/env bash
# Many callers send a body in chunks of one byte but for the end of it, and wait.
# Guards against chunks that take much more memory than the bytes received.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd small-chunks $MAX_BODY
