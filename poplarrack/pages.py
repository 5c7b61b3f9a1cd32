"""Define the pages that a node serves to operators."""

from dataclasses import dataclass
from json import dumps


@dataclass(frozen=True)
class Page:
    """The answer to a request for a page."""

    status: int
    content_type: str
    body: bytes


def json_page(value, status=200):
    """Return a page with a value as JSON.

    :param value: the value; what JSON can't encode is shown as a string.
    :param status: the HTTP status code.
    """
    body = dumps(value, indent=2, default=str).encode() + b'\n'
    return Page(status, 'application/json', body)
