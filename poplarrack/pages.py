"""Hold the pages that nodes show to operators."""

from dataclasses import dataclass
from json import dumps


@dataclass(frozen=True)
class Page:
    """An answer: status, content type and body."""

    status: int
    content_type: str
    body: bytes


def json_page(value, status=200):
    """Return a page of JSON."""
    body = dumps(value, indent=2, default=str).encode() + b'\n'
    return Page(status, 'application/json', body)
