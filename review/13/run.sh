#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 -B case.py
code=$?
# An error of the interpreter also gives 1; only a verdict of the case counts as one.
[ -f record.txt ] && tail -n 1 record.txt | grep -q "exit code=$code\$" || exit 2
exit $code
