"""Pass bodies on in pieces, each only as fast as the next hop takes them.

Load answered: long bodies whose reader is slower than their source. A hop
holds no more of one than a window, and tells the hop before it to wait.
"""

import asyncio
from collections import deque

from poplarrack.byte_budgets import ByteBudget

# Bodies up to this size are held whole, so that they can be sent again.
# Longer ones are passed on in pieces, and only once.
MAX_WHOLE_BODY_BYTES = 262_144
# What a hop holds of a body that the next one has not taken.
WINDOW_BYTES = 131_072
PIECE_BYTES = 32_768


class BodyPipe:
    """A body on its way from its source to its reader.

    The source puts pieces, and then ends the body or lets it fail. The reader
    opens it and takes pieces; ``notify`` is called when there is something
    new. Once open, a body can't be passed to another reader.

    :param source: has the methods ``on_pipe_opened``, ``on_pipe_taken`` and
        ``on_pipe_closed``, which take the pipe, and is told by them that the
        reader wants pieces, has taken some or wants no more.
    :param length: the size of the whole body, or None if it is not known.
    :param budget: the ByteBudget of the process.
    """

    def __init__(self, source, length=None, budget=None):
        self.source = source
        self.length = length
        self.budget = budget or ByteBudget()
        self.pieces = deque()
        self.size = 0
        self.notify = None
        self.ended = False
        self.failed = False
        self.closed = False

    @property
    def opened(self):
        """Return whether a reader has begun with the body."""
        return self.notify is not None

    @property
    def is_full(self):
        """Return whether the source has to wait for the reader."""
        return self.size >= WINDOW_BYTES and not self.closed

    @property
    def is_done(self):
        """Return whether the reader has the whole body."""
        return self.ended and not self.pieces

    # The source's side.

    def put(self, piece):
        """Add a piece, as bytes; nothing is kept once no one wants it."""
        if self.closed or self.failed:
            return
        self.pieces.append(piece)
        self.size += len(piece)
        self.budget.hold(self, self.size)
        self._notify()

    def end(self):
        """Say that the body is complete."""
        if not self.closed and not self.failed:
            self.ended = True
            self._notify()

    def fail(self):
        """Say that the rest of the body will not come."""
        if not self.closed and not self.ended and not self.failed:
            self.failed = True
            self._drop()
            self._notify()

    def _notify(self):
        if self.notify is not None:
            self.notify()

    def _drop(self):
        self.pieces.clear()
        self.size = 0
        self.budget.release(self)

    # The reader's side.

    def open(self, notify):
        """Begin to read.

        :param notify: called without arguments after each change.
        """
        self.notify = notify
        self.source.on_pipe_opened(self)
        if self.pieces or self.ended or self.failed:
            notify()

    def take(self):
        """Return the next piece, b'' if there is none yet."""
        if not self.pieces:
            return b''
        piece = self.pieces.popleft()
        if len(piece) > PIECE_BYTES:
            self.pieces.appendleft(piece[PIECE_BYTES:])
            piece = piece[:PIECE_BYTES]
        self.size -= len(piece)
        if self.size:
            self.budget.hold(self, self.size)
        else:
            self.budget.release(self)
        self.source.on_pipe_taken(self)
        return piece

    def close(self):
        """Say that nothing more is wanted."""
        if self.closed:
            return
        self.closed = True
        self._drop()
        self.source.on_pipe_closed(self)

    def give_up(self):
        """Break the body off, since the budget has no room for it."""
        if not self.closed:
            self.ended = False
            self.fail()
            self.source.on_pipe_closed(self)


def build_chunk(piece):
    """Return a piece as a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


LAST_CHUNK = b'0\r\n\r\n'


def write_pieces(pipe, transport, is_paused, chunked):
    """Write what there is of a body until its transport has enough.

    :param is_paused: a function that tells whether the transport has enough.
    :returns: whether the body is complete.
    """
    while pipe.size and not is_paused():
        piece = pipe.take()
        transport.write(build_chunk(piece) if chunked else piece)
    if not pipe.is_done:
        return False
    if chunked:
        transport.write(LAST_CHUNK)
    return True


class WholeBody:
    """Reads a body whole, for a node that takes none in pieces."""

    def __init__(self, pipe):
        self.pipe = pipe
        self.pieces = []
        self.size = 0
        self.changed = asyncio.Event()

    def give_up(self):
        """Read no more, since the budget has no room for it."""
        self.pieces = []
        self.pipe.close()
        self.changed.set()

    async def read(self):
        """Return the body, or None if it broke off or found no room."""
        pipe = self.pipe
        pipe.open(self.changed.set)
        try:
            while not pipe.is_done and not pipe.failed and not pipe.closed:
                await self.changed.wait()
                self.changed.clear()
                while pipe.size:
                    self.pieces.append(pipe.take())
                    self.size += len(self.pieces[-1])
                    pipe.budget.hold(self, self.size)
        finally:
            pipe.budget.release(self)
            is_done = pipe.is_done
            pipe.close()
        return b''.join(self.pieces) if is_done else None
