"""Buffer what is read from sockets.

All connections read into one buffer that they share.

For a plain Protocol the event loop allocates 256 KB for each read, which
costs page faults. One buffer is enough here, since received bytes are parsed
before the next read.
"""

from asyncio import BufferedProtocol

READ_BUFFER_BYTES = 65_536
# Bytes of a chunk's size and line ends, without extensions.
MAX_CHUNK_FRAMING_BYTES = 20
# The least size of a BodyBuffer's blocks, but for the last one.
BLOCK_BYTES = 16_384

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


class BodyBuffer:
    """Collects a body that arrives in pieces of any size.

    Small pieces are joined into blocks: each object takes some 40 bytes
    beside its content. Blocks rather than one array, which would be copied
    as it grows.
    """

    def __init__(self):
        self.blocks = []
        self.last_block = bytearray()
        self.size = 0

    def append(self, piece):
        """Add a piece, as bytes."""
        self.size += len(piece)
        if len(piece) >= BLOCK_BYTES:
            self._close_block()
            self.blocks.append(piece)
            return
        self.last_block += piece
        if len(self.last_block) >= BLOCK_BYTES:
            self._close_block()

    def _close_block(self):
        if self.last_block:
            self.blocks.append(bytes(self.last_block))
            self.last_block = bytearray()

    def joined(self):
        """Return the whole body."""
        if not self.blocks:
            return bytes(self.last_block)
        return b''.join((*self.blocks, self.last_block))
