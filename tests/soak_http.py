"""HTTP/1.1 of the soak's callers and endpoints, over asyncio streams."""

import asyncio
from dataclasses import dataclass

from poplarrack.addresses import split_address

EXCHANGE_TIMEOUT_SECONDS = 3.0
STREAM_LIMIT_BYTES = 2**20
# What ends an exchange without an answer.
NO_ANSWER = (OSError, TimeoutError, asyncio.IncompleteReadError)


class NotHttpError(Exception):
    """Bytes arrived that are no message of the protocol."""


@dataclass(frozen=True)
class HttpMessage:
    """A request or an answer; the names of its headers are lower case."""

    first_line: str
    headers: dict
    body: bytes

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first_line.split(' ')[1])

    @property
    def target(self):
        """Return the target of a request."""
        return self.first_line.split(' ')[1]

    @property
    def stamp(self):
        """Return the stamp of the endpoint's run, '' without one."""
        return self.headers.get('server-stamp', '')

    @property
    def is_last(self):
        """Return whether the connection ends with this message."""
        return self.headers.get('connection') == 'close'


async def read_message(reader, until_end=False):
    """Read a whole message.

    :param until_end: whether a body without a length ends with the
        connection.
    :raises asyncio.IncompleteReadError: when the message is not complete.
    :raises NotHttpError: when the bytes are no message.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        first_line, *lines = head[:-4].decode('latin-1').split('\r\n')
        if 'HTTP/1.1' not in first_line:
            raise NotHttpError(first_line[:80])
        pairs = (line.split(':', 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        body = await _read_body(reader, headers, until_end)
    except (ValueError, asyncio.LimitOverrunError) as error:
        raise NotHttpError(repr(error)[:200]) from error
    return HttpMessage(first_line, headers, body)


async def _read_body(reader, headers, until_end):
    if headers.get('transfer-encoding') == 'chunked':
        return await _read_chunks(reader)
    if 'content-length' in headers or not until_end:
        return await reader.readexactly(int(headers.get('content-length', 0)))
    return await reader.read()


async def _read_chunks(reader):
    chunks = []
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(chunks)


def build_head(first_line, fields):
    """Return the bytes of a message up to its body.

    :param fields: the headers by name, with ``_`` in place of ``-``.
    """
    lines = ''.join(
        f'{name.replace("_", "-")}: {value}\r\n'
        for name, value in fields.items()
    )
    return f'{first_line}\r\n{lines}\r\n'.encode()


def build_chunks(body, sizes):
    """Return a chunked body.

    :param sizes: an iterator of the sizes of chunks.
    """
    parts, start = [], 0
    while start < len(body):
        chunk = body[start : start + next(sizes)]
        start += len(chunk)
        parts.append(b'%x\r\n%s\r\n' % (len(chunk), chunk))
    return b''.join(parts) + b'0\r\n\r\n'


def build_request(method, path, body=b'', **headers):
    """Return the bytes of a request with a length."""
    fields = {
        'host': 'shop.example',
        **headers,
        'content_length': len(body),
    }
    return build_head(f'{method} {path} HTTP/1.1', fields) + body


class Connection:
    """A connection of a caller."""

    def __init__(self):
        self.reader = self.writer = None

    @property
    def is_open(self):
        """Return whether the connection can carry a further request."""
        return self.writer is not None

    async def open(self, address):
        """Connect to a ``host:port``."""
        self.reader, self.writer = await asyncio.open_connection(
            *split_address(address), limit=STREAM_LIMIT_BYTES
        )
        # A pause between two parts begins when the first one is sent.
        self.writer.transport.set_write_buffer_limits(0)

    async def exchange(self, raw):
        """Send a request; return the answer.

        The connection is closed unless it ends with a whole answer after
        which the node keeps it.
        """
        answer = None
        try:
            self.writer.write(raw)
            answer = await read_message(self.reader, until_end=True)
            return answer
        finally:
            if answer is None or answer.is_last:
                self.close()

    async def exchange_in_parts(self, parts, pause_seconds, clock):
        """Send a request with pauses; return the answer.

        :param parts: the bytes of the request, in parts.
        :param pause_seconds: the pause between two parts.
        :param clock: a function that returns monotonic seconds.
        :returns: the answer, and the longest pause in seconds.
        """
        reading = asyncio.ensure_future(
            read_message(self.reader, until_end=True)
        )
        answer, longest = None, 0.0
        unsent = list(parts)
        try:
            while unsent and not reading.done():
                written_at = await self._write(unsent.pop(0), clock)
                if unsent:
                    await asyncio.wait([reading], timeout=pause_seconds)
                    longest = max(longest, clock() - written_at)
            answer = await reading
            return answer, longest
        finally:
            reading.cancel()
            if answer is None or answer.is_last or unsent:
                self.close()

    async def _write(self, data, clock):
        """Write data; return when the last of it was sent."""
        written_at = clock()
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size():
            await self.writer.drain()
            written_at = clock()
        return written_at

    async def exchange_ahead(self, raws):
        """Send requests at once; yield their answers in order."""
        self.writer.write(b''.join(raws))
        for _ in raws:
            answer = await read_message(self.reader, until_end=True)
            if answer.is_last:
                self.close()
            yield answer
            if not self.is_open:
                return

    async def read_unasked(self, seconds):
        """Wait; return bytes that arrive while no request is waiting."""
        try:
            async with asyncio.timeout(seconds):
                data = await self.reader.read(200)
        except TimeoutError:
            return b''
        except OSError:
            data = b''
        self.close()
        return data

    def close(self):
        """Close at once, without a further exchange."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None


async def exchange(address, raw):
    """Send a request on a new connection; return the answer.

    :raises OSError: when the connection fails, or with TimeoutError,
        IncompleteReadError or NotHttpError when there is no answer.
    """
    connection = Connection()
    async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
        try:
            await connection.open(address)
            return await connection.exchange(raw)
        finally:
            connection.close()
