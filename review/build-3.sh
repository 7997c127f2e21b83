#!/bin/bash
# Builds the stand-in of the cases 11 and later into target/. It needs no network: the module has
# no dependencies.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/standin-3 .
