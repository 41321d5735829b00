#!/usr/bin/env bash
# Builds everything and runs all tests. The integration tests start the built programs.
# Arguments go to the test programs: ./test.sh --exact --skip NAME
set -euo pipefail
cd "$(dirname "$0")"
# Generated inputs are the same in each run, so that a change alone decides the verdict. Another
# BOLERO_RANDOM_SEED tries other inputs: BOLERO_RANDOM_SEED=$RANDOM ./test.sh
export BOLERO_RANDOM_SEED="${BOLERO_RANDOM_SEED:-1}"
cargo build --locked --workspace --bins
cargo test --locked --workspace -- "$@"
