"""Fetch the bodies of uploads once the receiving node's link has room.

The sending node keeps such a body whole and lets it wait, so that it can be
offered elsewhere as long as it has not run.
"""

from poplarrack.body_pipes import BodyPipe
from poplarrack.body_pipes import MAX_WHOLE_BODY_BYTES

# Shorter bodies go with their requests.
MIN_FETCHED_BYTES = 16_384


class HeldSource:
    """The source of a body that its node holds whole."""

    def on_pipe_opened(self, pipe):
        """Do nothing: all of the body is in the pipe."""

    on_pipe_taken = on_pipe_opened
    on_pipe_closed = on_pipe_opened


def build_held_pipe(body):
    """Return a BodyPipe of a body that stays held beside it."""
    pipe = BodyPipe(HeldSource(), len(body))
    pipe.put(body)
    pipe.end()
    return pipe


def is_fetched(upload):
    """Return whether a body that follows is held whole by its sender."""
    return (
        upload is not None
        and upload.length is not None
        and upload.length <= MAX_WHOLE_BODY_BYTES
    )


class FetchedBody:
    """A body on its way across the link.

    :param gate: the LinkGate.
    :param pipe: the BodyPipe.
    :param on_done: called once with the whole body, or None if it broke off.
    """

    def __init__(self, gate, pipe, on_done):
        self.gate = gate
        self.pipe = pipe
        self.on_done = on_done
        self.pieces = []
        self.size = 0
        self.crossing = None
        self.ended = False

    def begin(self, rank, deadline):
        """Wait for the link, then fetch the body."""
        self.crossing = self.gate.enter(
            rank, deadline, self.pipe.length, self._open
        )
        if self.ended:
            self.gate.leave(self.crossing)

    def _open(self):
        self.pipe.open(self._read)

    def _read(self):
        while self.pipe.size:
            piece = self.pipe.take()
            self.pieces.append(piece)
            self.size += len(piece)
        self.pipe.budget.hold(self, self.size)
        if self.pipe.is_done:
            self._end(b''.join(self.pieces))
        elif self.pipe.failed:
            self._end(None)

    def _end(self, body):
        if self.ended:
            return
        self.cancel()
        self.on_done(body)

    def give_up(self):
        """Drop what came, since the budget has no room for it."""
        self._end(None)

    def cancel(self):
        """Stop fetching; ``on_done`` is not called any more."""
        if self.ended:
            return
        self.ended = True
        self.pieces = []
        self.pipe.budget.release(self)
        self.pipe.close()
        if self.crossing is not None:
            self.gate.leave(self.crossing)
