#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/standin review/standins-2/main.rs
