#!/usr/bin/env bash
# Builds everything and runs all tests. The integration tests start the built programs.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --locked --workspace --bins
cargo test --locked --workspace
