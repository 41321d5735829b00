#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/standins-2/main.rs
