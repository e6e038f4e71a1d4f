#!/bin/sh
# Runs the case from the root of the repository; see claim.txt. TROUBLE=0 runs it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/jacinthworks ] && [ -x target/review-standins ] || { echo "not built"; exit 2; }
exec target/review-standins case resume "$folder"
