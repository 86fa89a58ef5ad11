#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the Rust compiler alone, into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standins-2 review/standins-2.rs
