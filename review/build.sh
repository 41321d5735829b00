#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
