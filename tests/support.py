"""Turn test functions into a unittest suite, with shared fixtures."""

from contextlib import ExitStack
import inspect
import sys
from unittest import FunctionTestCase
from unittest import TestSuite

FIXTURES = {}


def fixture(build):
    """Register a context manager that tests take by parameter name."""
    FIXTURES[build.__name__] = build
    return build


def build_load_tests(module_name):
    """Return a ``load_tests`` function for a module's test functions."""

    def load_tests(loader, standard, pattern):
        module = sys.modules[module_name]
        functions = [
            item
            for name, item in vars(module).items()
            if name.startswith('test_') and inspect.isfunction(item)
        ]
        return TestSuite(_case(item, module_name) for item in functions)

    return load_tests


def _case(function, module_name):
    def run():
        with ExitStack() as stack:
            wanted = _fixtures_of(function)
            built = {
                name: stack.enter_context(FIXTURES[name]()) for name in wanted
            }
            function(**built)

    return NamedCase(run, f'{module_name}.{function.__name__}')


class NamedCase(FunctionTestCase):
    """A test function's case, known by the function's dotted name."""

    def __init__(self, run, name):
        super().__init__(run)
        self.name = name

    def id(self):
        """Return the name that KNOWN-RED.txt lists a test by."""
        return self.name

    __str__ = id


def _fixtures_of(function):
    """Return parameter names; a property test's are drawn, not built."""
    if hasattr(function, 'hypothesis'):
        return ()
    return inspect.signature(function).parameters


def assert_raises(kind, function, *arguments):
    """Call a function that must raise an error of a kind; return it."""
    from poplarrack.errors import PoplarrackError

    try:
        function(*arguments)
    except PoplarrackError as error:
        assert error.kind is kind, error
        return error
    raise AssertionError(f'no {kind.value} was raised')
