#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library
# only. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
