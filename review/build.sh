#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases. They use the standard library only, so that no
# network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --offline --locked --manifest-path review/Cargo.toml --target-dir target/review
