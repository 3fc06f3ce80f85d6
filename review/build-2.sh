#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. The routers are built by the deploy file's command.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --example standins
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
