"""Model and serialize HTTP/1.1 requests and answers."""

from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
import re

from msgspec.json import encode

from poplarrack.body_pipes import BodyPipe
from poplarrack.errors import ANSWERS
from poplarrack.errors import Ran

CALL_HEADER = b'poplarrack-call'
NOT_RUN_HEADER = b'poplarrack-not-run'
DEADLINE_HEADER = b'poplarrack-deadline-ms'
DEPTH_HEADER = b'poplarrack-depth'
RAN_HEADER = b'poplarrack-ran'
ERROR_HEADER = b'poplarrack-error'
VERSION_HEADER = b'poplarrack-version'
MESH_HEADER_PREFIX = b'poplarrack-'

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

# Its authority, and the rest but for a fragment.
ABSOLUTE_TARGET = re.compile(
    r'https?://([^/?#]+)([^#]*)(?:#.*)?', re.IGNORECASE
)

_STATUS_LINES = {
    status.value: b'HTTP/1.1 %d %s\r\n' % (status, status.phrase.encode())
    for status in HTTPStatus
}


@dataclass(slots=True)
class HttpRequest:
    """A complete request; its header names are in lower case.

    ``arrived_at`` is when it was complete, on the clock of the server, 0 if
    that is not known. ``is_pipelined`` says that its connection carried other
    requests at the same time, and ``is_followed`` that one of these was
    started behind it. ``upload`` is the BodyPipe of a body that is not
    in ``body``, and ``takes_chunks`` whether its caller can read an answer of
    unknown length.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b''
    keep_alive: bool = True
    arrived_at: float = 0.0
    is_pipelined: bool = False
    is_followed: bool = False
    upload: BodyPipe | None = None
    takes_chunks: bool = True

    def stays_open(self, draining):
        """Return whether its connection stays open behind the answer.

        A connection of a node that drains ends with the last request that was
        started on it, so that no answer is thrown away.
        """
        return self.keep_alive and (self.is_followed or not draining)

    def header(self, name):
        """Return the first header of a name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(slots=True)
class HttpAnswer:
    """A complete answer; its header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b''

    def header(self, name):
        """Return the first header of a name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def is_end_to_end(name):
    """Return whether a header is forwarded to the next hop."""
    return name not in HOP_BY_HOP_HEADERS and not name.startswith(
        MESH_HEADER_PREFIX
    )


def build_request(request, address, hop_headers):
    """Serialize a request for a backend server.

    Hop-by-hop headers are left out, and so are headers of the mesh, which
    only nodes may set.

    :param request: an HttpRequest.
    :param address: the Host header's value if the request has none.
    :param hop_headers: header lines of this hop, as bytes.
    """
    parts = [
        request.method.encode(),
        b' ',
        request.target.encode(),
        b' HTTP/1.1\r\n',
    ]
    hop_by_hop = connection_options(request.headers)
    has_host = False
    for name, value in request.headers:
        if is_end_to_end(name) and name not in hop_by_hop:
            has_host = has_host or name == b'host'
            parts += (name, b': ', value, b'\r\n')
    if not has_host:
        parts += (b'host: ', address.encode(), b'\r\n')
    upload = request.upload
    if upload is not None and upload.length is None:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif upload is not None:
        parts.append(b'content-length: %d\r\n' % upload.length)
    elif request.body or request.method in ('POST', 'PUT', 'PATCH'):
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts += (hop_headers, b'\r\n', request.body)
    return b''.join(parts)


def take_authority(request):
    """Turn a target in absolute form into a path and a Host header.

    The host of such a target goes before that of the header (RFC 9112, 3.2.2).

    :param request: an HttpRequest, which is changed.
    """
    if request.target.startswith('/'):
        return
    found = ABSOLUTE_TARGET.fullmatch(request.target)
    if found is None:
        return
    authority, rest = found.groups()
    if not rest and request.method == 'OPTIONS':
        rest = '*'
    elif not rest.startswith('/'):
        rest = '/' + rest
    request.target = rest
    host = authority.rpartition('@')[2].encode('latin-1')
    request.headers = [
        (b'host', host),
        *(item for item in request.headers if item[0] != b'host'),
    ]


def build_head_without_offer(request, version):
    """Serialize the head of a caller's request without an offer to upgrade.

    A server may ignore the offer (RFC 9110, 7.8).

    :param version: the version of HTTP, such as ``1.1``.
    """
    line = f'{request.method} {request.target} HTTP/{version}\r\n'
    parts = [line.encode('latin-1')]
    for name, value in request.headers:
        if name == b'connection':
            options = (part.strip() for part in value.split(b','))
            value = b', '.join(
                option for option in options if option.lower() != b'upgrade'
            )
        if name != b'upgrade':
            parts += (name, b': ', value, b'\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def connection_options(headers):
    """Return the header names that a Connection header lists.

    These headers are hop-by-hop, too.
    """
    for name, value in headers:
        if name == b'connection':
            return {part.strip().lower() for part in value.split(b',')}
    return ()


def build_answer(status, headers, body, keep_alive, bodiless=False):
    """Serialize an answer.

    :param status: the HTTP status code.
    :param headers: end-to-end headers as pairs of name and value.
    :param body: bytes of the body.
    :param keep_alive: whether the connection stays open.
    :param bodiless: whether to leave out the body, as for HEAD.
    """
    parts = _build_status_lines(status, headers)
    if status != 204 and status != 304 and not bodiless:
        parts.append(b'content-length: %d\r\n' % len(body))
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    if not bodiless:
        parts.append(body)
    return b''.join(parts)


def _build_status_lines(status, headers):
    parts = [_STATUS_LINES.get(status) or b'HTTP/1.1 %d -\r\n' % status]
    for name, value in headers:
        parts += (name, b': ', value, b'\r\n')
    return parts


def build_answer_head(status, headers, length, keep_alive, chunked):
    """Serialize the head of an answer whose body follows in pieces.

    :param length: the size of the body, or None if it is not known.
    :param keep_alive: whether the connection stays open.
    :param chunked: whether a body of unknown size is sent in chunks; without
        them it ends with the connection.
    """
    parts = _build_status_lines(status, headers)
    if length is not None:
        parts.append(b'content-length: %d\r\n' % length)
    elif chunked:
        parts.append(b'transfer-encoding: chunked\r\n')
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def build_error(kind, detail, call_id, keep_alive, retry_after=None):
    """Serialize the answer to a call that failed in the mesh.

    :param kind: an ErrorKind, which sets the status and headers.
    :param detail: text for the reader of the answer.
    :param call_id: the caller's own call id, echoed as a promise that the
        call was not run, if the kind makes that promise.
    :param keep_alive: whether the connection stays open.
    :param retry_after: seconds after which the caller may retry, or None.
    """
    answer = ANSWERS[kind]
    body = encode(
        {
            'error': kind.value,
            'code': answer.code,
            'detail': detail,
            'ran': answer.ran.value,
        }
    )
    headers = [
        (b'content-type', b'application/json'),
        (ERROR_HEADER, kind.value.encode()),
        (RAN_HEADER, answer.ran.value.encode()),
    ]
    if answer.ran is Ran.NO and call_id:
        headers.append((NOT_RUN_HEADER, call_id))
    if answer.http_status == 401:
        headers.append((b'www-authenticate', b'Bearer'))
    if retry_after is not None:
        headers.append((b'retry-after', b'%.2f' % retry_after))
    return build_answer(answer.http_status, headers, body, keep_alive)
