#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside the program of the deploy file: the
# project's stand-in of the store and this review's stand-ins. Needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --package platform-standin
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standin review/standin-2/main.rs
