#!/bin/sh
# Builds the stand-ins and clients of the third review's scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2021 -o target/review-3/cases review/harness-3/main.rs
