#!/usr/bin/env bash
# Passes all tests: unit and fault tables, process tests, and the quickstart.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --bins --examples
bash examples/quickstart.sh
cargo test --locked --no-fail-fast
