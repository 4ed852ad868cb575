#!/usr/bin/env bash
exec "$(dirname "$0")/../case.sh" "$(dirname "$0")" silent-failures
