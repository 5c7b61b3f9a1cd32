"""Find the start of another answer in a body.

A server may break an answer off and send another one behind it, which then
fills the first one's body.
"""

import re

ANSWER_START = b'HTTP/'
# The body may have ended inside the start of the other answer.
PARTIAL_START = re.compile(rb'H(T(TP?)?)?\Z')


class AnswerStartFinder:
    """Searches a body that comes in pieces, of which it keeps nothing.

    ``found`` says that the body contains the start of an answer.
    """

    def __init__(self):
        self.found = False
        # Where a start may begin that goes on in the next piece.
        self.tail = b''

    def add(self, piece):
        """Search the next piece of the body."""
        if self.found:
            return
        boundary = self.tail + piece[: len(ANSWER_START)]
        self.found = ANSWER_START in boundary or ANSWER_START in piece
        last = piece if len(piece) >= len(ANSWER_START) else boundary
        self.tail = last[1 - len(ANSWER_START) :]

    @property
    def may_have_found(self):
        """Return whether there is a start, or the body ends inside one."""
        return self.found or PARTIAL_START.search(self.tail) is not None
