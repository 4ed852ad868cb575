#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases, and the project's own stand-ins that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
