#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later, with the compiler alone. The deploy file's command builds the programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins-3 review/standins-3/main.rs
