"""Decode JSON that another process wrote.

Its values may be of any shape: the decoder raises RecursionError on deep
nesting, and numbers may be too large for messages between nodes.
"""

from typing import Any

from msgspec import convert
from msgspec import MsgspecError
from msgspec.json import decode

from poplarrack.errors import PoplarrackError

# Larger integers have no exact value in JSON.
MAX_NUMBER = 2**53


def decode_json(raw, kind, name, value_type=Any):
    """Return the value that JSON bytes encode.

    :param kind: the ErrorKind of bytes that can't be decoded.
    :param name: what the bytes are, for the error message.
    :param value_type: the type of the value, such as a data class.
    :raises PoplarrackError: of ``kind``.
    """
    try:
        value = decode(raw)
        _check_numbers(value)
        return convert(value, value_type)
    except (MsgspecError, ValueError, RecursionError) as error:
        raise PoplarrackError(kind, f'{name}: {error}') from error


def _check_numbers(value):
    if isinstance(value, dict):
        for item in value.values():
            _check_numbers(item)
    elif isinstance(value, list):
        for item in value:
            _check_numbers(item)
    elif isinstance(value, int | float) and not -MAX_NUMBER <= value <= (
        MAX_NUMBER
    ):
        raise ValueError(f'number out of range, {MAX_NUMBER} at most')
