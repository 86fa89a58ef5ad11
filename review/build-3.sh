#!/bin/sh
# Builds the stand-ins of the third review. Needs the Rust toolchain alone; run after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins-3 review/standins-3.rs
