#!/bin/bash
# Builds the stand-ins of the cases 11 and later into target/. It needs no network: the modules
# have no dependencies. The cases 14 and 15 use the stand-in of the second review.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/standin-3"
GOWORK=off go build -o ../../target/standin-3 .
cd "$here/standin-2"
GOWORK=off go build -o ../../target/review-2 .
