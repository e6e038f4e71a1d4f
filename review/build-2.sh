#!/bin/sh
# Builds the stand-ins of the second review, from the root of the repository or from anywhere.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/standins-2 ./standins-2
