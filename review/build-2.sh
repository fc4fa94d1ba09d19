#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. The build of
# the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/harness-2/main.rs
