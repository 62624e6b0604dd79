#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/$(basename "$folder")
[ -x "$program" ] && [ -x target/corianderdock-proxy ] || exit 2
timeout -k 5 110 "$program" "$folder"
code=$?
[ $code -le 1 ] || exit 2
exit $code
