"""Run all tests; pass over just those that KNOWN-RED.txt lists.

An entry of KNOWN-RED.txt begins with ``test:`` and the test's id. A listed
test that fails is printed and passed over; one that passes is printed too,
so that its entry gets removed.
"""

from pathlib import Path
import sys
import unittest

ROOT = Path(__file__).resolve().parent.parent
PREFIX = 'test:'


def known_red():
    """Return the ids of the tests listed as failing."""
    lines = (ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    return {
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    }


def main():
    """Run the suite and print a closing line; return the exit status."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.defaultTestLoader.discover('tests', top_level_dir=ROOT)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    listed = known_red()
    failed = {case.id() for case, _ in result.failures + result.errors}
    for name in sorted(failed & listed):
        print(f'known red, passed over: {name}')
    for name in sorted(failed - listed):
        print(f'failed: {name}')
    passed = result.testsRun - len(failed)
    skipped = len(result.skipped) + len(failed & listed)
    print(f'{passed} passed, {len(failed - listed)} failed, {skipped} skipped')
    return 1 if failed - listed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
