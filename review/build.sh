#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../bin/standin .
