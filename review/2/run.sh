#!/bin/sh
# Plays the case. TROUBLE=0 leaves the disruption out. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/hoptiller ] || exit 2
exec bin/review2 "$PWD/review/2/record.txt"
