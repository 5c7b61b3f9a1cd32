"""Read from sockets into one buffer that all connections share.

A plain protocol has the event loop allocate 256 KB for each read, which
costs page faults; here the bytes are parsed before the next read.
"""

from asyncio import BufferedProtocol

READ_BUFFER_BYTES = 65_536

_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class SharedBufferProtocol(BufferedProtocol):
    """A protocol whose ``data_received`` must not keep the view."""

    def get_buffer(self, size_hint):
        """Return the shared buffer."""
        return _buffer

    def buffer_updated(self, size):
        """Hand over what was read."""
        self.data_received(_buffer[:size])

    def data_received(self, data):
        """Take bytes as a view that is valid during the call."""
        raise NotImplementedError
