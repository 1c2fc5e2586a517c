#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. Needs no network: the package has no dependencies.
set -eu
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR="$PWD/target" cargo build --release --locked --offline
