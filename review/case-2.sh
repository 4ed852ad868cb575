#!/usr/bin/env bash
# Runs a case: case-2.sh FOLDER CASE. Writes record.txt there. Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run. Whichever way it ends, the processes that it started end with it.
set -u -m
repository="$(cd "$(dirname "$0")/.." && pwd)"
folder="$(cd "$1" && pwd)"
cases="$repository/target/review-2/cases"
[ -x "$cases" ] && [ -x "$repository/target/release/saddleraild" ] || {
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
}
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
"$cases" "$2" "$repository" "$folder/record.txt" &
group=$!
finish() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
