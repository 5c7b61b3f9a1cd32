"""Support for test functions: fixtures, a unittest suite, assertions."""

from contextlib import ExitStack
import inspect
import sys
from unittest import FunctionTestCase
from unittest import TestSuite

FIXTURES = {}


def fixture(build):
    """Register a context manager as the fixture of its name.

    A test function takes what it yields by a parameter of that name.
    """
    FIXTURES[build.__name__] = build
    return build


def build_load_tests(module_name):
    """Return the ``load_tests`` function of a module of test functions."""

    def load_tests(loader, standard, pattern):
        module = sys.modules[module_name]
        functions = [
            item
            for name, item in vars(module).items()
            if name.startswith('test_') and inspect.isfunction(item)
        ]
        return TestSuite(_build_case(item, module_name) for item in functions)

    return load_tests


def _build_case(function, module_name):
    def run():
        with ExitStack() as stack:
            names = _fixture_names(function)
            fixtures = {
                name: stack.enter_context(FIXTURES[name]()) for name in names
            }
            function(**fixtures)

    return NamedCase(run, f'{module_name}.{function.__name__}')


class NamedCase(FunctionTestCase):
    """Test case of a function, with the dotted name of it as its id."""

    def __init__(self, run, name):
        super().__init__(run)
        self.name = name

    def id(self):
        """Return the name by which KNOWN-RED.txt lists the test."""
        return self.name

    __str__ = id


def _fixture_names(function):
    """Return the names of a test's parameters.

    Those of a property test are not fixtures: Hypothesis draws them.
    """
    if hasattr(function, 'hypothesis'):
        return ()
    return inspect.signature(function).parameters


def assert_raises(kind, function, *arguments):
    """Assert that a function raises an error of a kind.

    :param kind: the expected ErrorKind.
    :param arguments: the arguments of the function.
    :returns: the error.
    """
    from poplarrack.errors import PoplarrackError

    try:
        function(*arguments)
    except PoplarrackError as error:
        assert error.kind is kind, error
        return error
    raise AssertionError(f'expected {kind.value}, but no error was raised')
