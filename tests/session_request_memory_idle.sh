#!/usr/bin/env bash
# Many callers connect and send nothing, or a head that does not end.
# Guards against connections that keep all others out.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
. "$(dirname "$0")/request_memory_lib.sh"

start_small_vm
check_crowd idle 0
