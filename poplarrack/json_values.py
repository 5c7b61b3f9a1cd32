"""Decode JSON that another process wrote, whatever its shape."""

from typing import Any

from msgspec import MsgspecError
from msgspec.json import decode

from poplarrack.errors import PoplarrackError


def decode_json(raw, kind, name, value_type=Any):
    """Return the value that JSON bytes encode.

    Numbers may have any size: those that are sent on need bounds.

    :param kind: the ErrorKind of bytes that can't be decoded.
    :param name: what the bytes are, for the error message.
    :param value_type: the type of the value, such as a data class.
    :raises PoplarrackError: of ``kind``.
    """
    try:
        return decode(raw, type=value_type)
    except (MsgspecError, ValueError, RecursionError) as error:
        # RecursionError is raised on deep nesting.
        raise PoplarrackError(kind, f'{name}: {error}') from error
