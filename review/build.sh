#!/usr/bin/env bash
# Check that the stand-ins of the cases load with the libraries of the build.
# They are Python files of this folder, and tests/store_stand_in.py.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review tests/store_stand_in.py
python3 -c 'import sys; sys.path.insert(0, "review"); import harness'
