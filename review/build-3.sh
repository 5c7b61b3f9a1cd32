#!/bin/sh
# The stand-ins of the third review are Python: this only checks that they,
# and the libraries that the build of the deploy file brings, load.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. exec python3 -c '
import review.common3.mesh
import review.common3.proxies
import tests.store_stand_in
import poplarrack.platform.processes
'
