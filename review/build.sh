#!/bin/sh
# Builds the stand-ins of all cases into target/, beside the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../target/review-standins ./standins
