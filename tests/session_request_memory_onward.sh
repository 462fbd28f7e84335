#!/usr/bin/env bash
# Many clients of the interface for onward calls send bodies that do not end.
# Guards against limits that hold for the interface of callers only.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd length $MAX_BODY "$ONWARD_PORT" 127.0.0.1
check_crowd oversize 0 "$ONWARD_PORT" 127.0.0.1
