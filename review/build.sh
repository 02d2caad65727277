#!/bin/sh
# Builds the programs of the cases, and the project's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
for number in 1 2 3; do
    if [ -d "review/$number" ]; then
        go build -o "bin/review$number" "./review/$number"
    fi
done
