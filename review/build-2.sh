#!/bin/sh
# Builds the program that plays the cases 6 to 10: clients, slot caches, origin, discovery and the platform around the routers.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-play ./review/play
