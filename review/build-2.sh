#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 with the project's toolchain; they need no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standin-2/main.rs
