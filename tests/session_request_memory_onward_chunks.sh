#!/usr/bin/env bash
# Many clients of the interface for onward calls send bodies in chunks of one byte.
# Guards against limits that hold for the interface of callers only.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd small-chunks $MAX_BODY "$ONWARD_PORT" 127.0.0.1
