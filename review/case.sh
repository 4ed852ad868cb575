#!/usr/bin/env bash
# Runs a case: case.sh FOLDER PROGRAM. Writes record.txt there; the exit code is that of the case
# (0: the rule held, 1: it was broken, 2: the case could not run). All processes that the program
# starts are in its process group, which is ended with it.
set -u -m
ROOT=$(cd "$(dirname "$0")/.." && pwd)
case=$(cd "$1" && pwd)
program="$ROOT/target/review/release/$2"
[ -x "$program" ] && [ -x "$ROOT/target/release/saddleraild" ] || {
    echo "build first: the build of the deploy file, then review/build.sh" >&2
    exit 2
}
FOLDER=$(mktemp -d)
export ROOT FOLDER RECORD="$case/record.txt"
timeout --signal=KILL 110 "$program" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT INT TERM
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
rm -rf "$FOLDER"
[ "$code" -le 1 ] && exit "$code"
exit 2
