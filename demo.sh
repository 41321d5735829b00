#!/usr/bin/env bash
# Builds everything and runs the demo fleet on stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --workspace --bins
exec target/release/papayamux-measure demo "$@"
