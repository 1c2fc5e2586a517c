#!/bin/sh
# Builds every stand-in that the scripts start. It has no dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")"
exec cargo build --release --locked --offline --manifest-path standins/Cargo.toml --target-dir standins/target
