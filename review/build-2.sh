#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin-2"
GOWORK=off go build -o ../../target/review-2 .
