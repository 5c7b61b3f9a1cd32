#!/usr/bin/env bash
# Run the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=../../target/deps
exec timeout -k 5 120 python3 case.py
