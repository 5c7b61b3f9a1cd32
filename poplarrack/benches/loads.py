"""Load of the bench: a small blocking HTTP client, and process usage."""

from dataclasses import dataclass
import os
import socket
import time

from poplarrack.addresses import split_address

RECEIVE_BYTES = 65_536
CALL_TIMEOUT_SECONDS = 5.0


class CallClient:
    """HTTP client with one persistent connection; one call at a time.

    ``head`` is the head of the latest answer, in lower case.
    """

    def __init__(self, address):
        self.address = split_address(address)
        self.socket = None
        self.head = b''

    def call(self, path='/', headers='', method='GET'):
        """Make a call.

        :param headers: header lines, each with its CRLF.
        :returns: the status, and the seconds that the call took.
        :raises OSError: when the connection fails or is closed early.
        """
        if self.socket is None:
            self._connect()
        request = f'{method} {path} HTTP/1.1\r\nhost: bench\r\n{headers}\r\n'
        raw = request.encode()
        started_at = time.perf_counter()
        try:
            self.socket.sendall(raw)
            status, keep_alive = self._read_answer()
        except OSError:
            self.close()
            raise
        elapsed = time.perf_counter() - started_at
        if not keep_alive:
            self.close()
        return status, elapsed

    def close(self):
        """Close the connection; the next call opens a new one."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _connect(self):
        self.socket = socket.create_connection(
            self.address, CALL_TIMEOUT_SECONDS
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _read_answer(self):
        data = b''
        while b'\r\n\r\n' not in data:
            data += self._receive()
        head, _, body = data.partition(b'\r\n\r\n')
        head = self.head = head.lower()
        length = 0
        for line in head.split(b'\r\n')[1:]:
            if line.startswith(b'content-length:'):
                length = int(line[15:])
        received = len(body)
        while received < length:
            received += len(self._receive())
        return int(head[9:12]), b'connection: close' not in head

    def _receive(self):
        data = self.socket.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError('connection closed before the answer ended')
        return data


@dataclass(frozen=True)
class Usage:
    """Resource usage of a process: CPU seconds and resident bytes."""

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid):
    """Return the Usage of a process so far, from ``/proc``."""
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    with open(f'/proc/{pid}/statm') as file:
        pages = int(file.read().split()[1])
    return Usage(
        ticks / os.sysconf('SC_CLK_TCK'), pages * os.sysconf('SC_PAGE_SIZE')
    )
