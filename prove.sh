#!/usr/bin/env bash
# Long random runs with real processes: ./prove.sh --minutes N --seed S. CI does not run it.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --workspace --quiet
exec "${CARGO_TARGET_DIR:-target}"/release/saddlerail-load prove "$@"
