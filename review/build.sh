#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The build line of the deploy file builds the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
