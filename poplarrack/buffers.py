"""Read from sockets into one buffer that all connections share.

For a plain Protocol the event loop allocates 256 KB for each read, which
costs page faults. One buffer is enough here, since received bytes are parsed
before the next read.
"""

from asyncio import BufferedProtocol

READ_BUFFER_BYTES = 65_536

_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class SharedBufferProtocol(BufferedProtocol):
    """A protocol that reads into the shared buffer.

    ``data_received`` must not keep a reference to the view that it gets.
    """

    def get_buffer(self, size_hint):
        """Return the shared buffer."""
        return _buffer

    def buffer_updated(self, size):
        """Pass the received bytes to ``data_received``."""
        self.data_received(_buffer[:size])

    def data_received(self, data):
        """Process received bytes.

        :param data: a memoryview that is valid only during the call.
        """
        raise NotImplementedError
