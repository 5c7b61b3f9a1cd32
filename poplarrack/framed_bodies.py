"""Pass bodies between two nodes in frames, each within a window of its own.

A slow body takes its window and no more, so that it does not hold up the
other messages of its connection.
"""

from struct import Struct

from poplarrack.body_pipes import BodyPipe
from poplarrack.body_pipes import WINDOW_BYTES
from poplarrack.frames import FrameKind

WINDOW = Struct('>I')
# Payload of the frame that ends a body which is not complete.
BROKEN_OFF = b'\x01'


class OutgoingBody:
    """A body that is sent in frames, as far as the other node has room.

    :param on_end: called once when it has ended or is dropped.
    """

    def __init__(self, message_id, pipe, window, on_end):
        self.message_id = message_id
        self.pipe = pipe
        self.window = window
        self.on_end = on_end


class FramedBodies:
    """The bodies in pieces of one connection between nodes.

    :param stream: the FrameProtocol.
    :param cancel: called with the message id of a body whose reader wants no
        more of it.
    """

    def __init__(self, stream, cancel):
        self.stream = stream
        self.cancel = cancel
        self.outgoing = {}
        self.incoming = {}
        # The bytes taken of each incoming body and not told yet.
        self.untold = {}

    # Bodies that are sent.

    def send(self, message_id, pipe, window, on_end=lambda: None):
        """Send a body; nothing of it is taken while the window is 0."""
        body = OutgoingBody(message_id, pipe, window, on_end)
        self.outgoing[message_id] = body
        if window:
            pipe.open(lambda: self._pump(body))

    def on_window(self, message_id, payload):
        """Send more of a body, as the other node has taken some."""
        body = self.outgoing.get(message_id)
        if body is None or len(payload) != WINDOW.size:
            return
        body.window += WINDOW.unpack(payload)[0]
        if body.pipe.opened:
            self._pump(body)
        else:
            body.pipe.open(lambda: self._pump(body))

    def resume(self):
        """Go on with all bodies after the transport took what it had."""
        for body in list(self.outgoing.values()):
            if body.pipe.opened:
                self._pump(body)

    def _pump(self, body):
        if self.outgoing.get(body.message_id) is not body:
            return
        pipe, stream = body.pipe, self.stream
        while pipe.size and body.window > 0 and not stream.is_write_paused:
            piece = pipe.take()
            body.window -= len(piece)
            stream.send(FrameKind.PIECE, body.message_id, piece)
        if pipe.is_done:
            self._end(body, b'')
        elif pipe.failed:
            self._end(body, BROKEN_OFF)

    def _end(self, body, payload):
        del self.outgoing[body.message_id]
        self.stream.send(FrameKind.END, body.message_id, payload)
        body.on_end()

    def drop(self, message_id):
        """Send no more of a body; it stays whole if none of it was sent."""
        body = self.outgoing.pop(message_id, None)
        if body is not None:
            if body.pipe.opened:
                body.pipe.close()
            body.on_end()

    # Bodies that are received.

    def receive(self, message_id, streamed_bytes):
        """Return the BodyPipe of a body that follows in frames."""
        length = streamed_bytes if streamed_bytes > 0 else None
        pipe = BodyPipe(self, length, self.stream.budget)
        self.incoming[message_id] = pipe
        self.untold[pipe] = [message_id, 0]
        return pipe

    def on_piece(self, message_id, payload):
        """Add a piece to its body, if that is still wanted.

        A node that sends more than its window has broken the protocol.
        """
        pipe = self.incoming.get(message_id)
        if pipe is None:
            return
        if pipe.size + len(payload) > 2 * WINDOW_BYTES:
            pipe.give_up()
            return
        self.untold[pipe][1] += len(payload)
        pipe.put(payload)

    def on_end(self, message_id, payload):
        """End a body."""
        pipe = self.incoming.pop(message_id, None)
        if pipe is None:
            return
        del self.untold[pipe]
        if payload:
            pipe.fail()
        else:
            pipe.end()

    def forget(self, message_id):
        """End both bodies of a message that was cancelled."""
        pipe = self.incoming.get(message_id)
        if pipe is not None:
            pipe.close()
        self.drop(message_id)

    def break_off(self, message_id):
        """Break off a body of which a frame was skipped."""
        if message_id in self.incoming:
            self.incoming[message_id].give_up()

    def on_pipe_opened(self, pipe):
        """Allow the other node to begin with a body that waits for that."""
        message_id, _ = self.untold.get(pipe, (None, 0))
        if message_id is not None and self.stream.grants_first_window:
            self._grant(message_id, WINDOW_BYTES)

    def on_pipe_taken(self, pipe):
        """Allow for more once half of the window is taken."""
        state = self.untold.get(pipe)
        if state is not None and state[1] - pipe.size >= WINDOW_BYTES // 2:
            self._grant(state[0], state[1] - pipe.size)
            state[1] = pipe.size

    def _grant(self, message_id, size):
        self.stream.send(FrameKind.WINDOW, message_id, WINDOW.pack(size))

    def on_pipe_closed(self, pipe):
        """Have the other node stop."""
        state = self.untold.pop(pipe, None)
        if state is not None:
            del self.incoming[state[0]]
            self.cancel(state[0])

    def lose(self):
        """Break off all bodies, as the connection is lost."""
        incoming, self.incoming = self.incoming, {}
        self.untold = {}
        for pipe in incoming.values():
            pipe.fail()
        for message_id in list(self.outgoing):
            self.drop(message_id)
