#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review; it needs nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
