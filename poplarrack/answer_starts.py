"""Find the start of another answer in a body.

A server may break an answer off and send another one behind it, which then
fills the first one's body.
"""

import re

ANSWER_START = b'HTTP/'
# The body may have ended inside the start of the other answer.
PARTIAL_START = re.compile(rb'H(T(TP?)?)?\Z')
# A status line and the name of a header.
HEAD = re.compile(rb'HTTP/\d\.\d \d{3}[^\r\n]{0,150}\r\n[\w-]{1,80}:')
MAX_HEAD_START_BYTES = 250


class AnswerStartFinder:
    """Searches a body that comes in pieces, of which it keeps only a tail.

    ``found`` says that the body contains the start of an answer, and
    ``found_head`` that it contains what can hardly be anything else.
    """

    def __init__(self):
        self.found = False
        self.found_head = False
        # Where a head may begin that goes on in the next piece.
        self.tail = b''

    def add(self, piece):
        """Search the next piece of the body."""
        text = self.tail + piece
        if ANSWER_START in text:
            self.found = True
            self.found_head = self.found_head or HEAD.search(text) is not None
        self.tail = text[-MAX_HEAD_START_BYTES:]

    @property
    def may_have_found(self):
        """Return whether there is a start, or the body ends inside one."""
        return self.found or PARTIAL_START.search(self.tail) is not None
