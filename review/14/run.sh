#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
sh review/build-3.sh || exit 2
PYTHONPATH=target/deps:. exec python3 -m review.14.scenario
