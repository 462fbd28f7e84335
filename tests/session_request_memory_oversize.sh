#!/usr/bin/env bash
# Many callers send bodies far over the limit, announced or not, in chunks of 64 KB.
# Guards against a daemon that keeps what it has refused.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd oversize 0
