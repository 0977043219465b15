#!/usr/bin/env bash
# Builds the stand-ins of the store, the servers and the clients, and the check
# of each case, into one program beside the nodes' program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/harness
