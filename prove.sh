#!/usr/bin/env bash
# Randomized soak test with real processes; not part of CI. Sends requests while failures are
# injected, then checks invariants.
# Usage: ./prove.sh --minutes N --seed S
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --workspace --quiet
exec "${CARGO_TARGET_DIR:-target}"/release/saddlerail-load prove "$@"
