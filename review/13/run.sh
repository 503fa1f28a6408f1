#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab3 ] && [ -x target/monsoonferry ] || exit 2
exec timeout --kill-after=5 115 target/lab3 late-drain review/13/record.txt
