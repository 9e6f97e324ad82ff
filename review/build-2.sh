#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/site review/standins-2/site.rs
