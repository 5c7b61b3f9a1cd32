"""Define an exchange with a backend server, and how it ends."""

from dataclasses import dataclass
from enum import Enum

from poplarrack.body_pipes import BodyPipe


class Outcome(Enum):
    """How an exchange with a backend server ended."""

    ANSWERED = 'answered'
    NEVER_SENT = 'never_sent'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    TOO_LARGE = 'too_large'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Mark:
    """A header by which a server may name the exchange that it answers.

    ``value`` is the exchange's own: ``prefix``, which all exchanges of this
    node share, and a number. A server may forward the mark of a call that it
    made itself, which is of another form.
    """

    name: bytes
    value: bytes
    prefix: bytes

    def is_other(self, answer):
        """Return whether an answer bears another mark."""
        return answer.header(self.name) not in (None, self.value)

    def is_of_other_exchange(self, answer):
        """Return whether an answer is that to another exchange of the node."""
        value = answer.header(self.name)
        return (
            self.is_other(answer)
            and value.startswith(self.prefix)
            and value.removeprefix(self.prefix).isdigit()
        )


@dataclass(slots=True)
class Exchange:
    """A request in flight to a backend server.

    ``on_done`` is called once, with an Outcome and an HttpAnswer or None.
    ``echo`` is the name and value of a header that the answer must have, or
    None. ``mark`` is the Mark that the answer may bear; after an answer with
    another one, the connection is out of step. ``upload`` is the BodyPipe of
    a request's body that is not in ``request``. ``on_begin``, unless None, is
    called with the HttpAnswer and the BodyPipe of a long answer once its head
    is there; it returns whether it takes the answer. ``on_done`` follows when
    that is complete or broken off.
    """

    pool: object
    request: bytes
    bodiless: bool
    on_done: object
    echo: tuple[bytes, bytes] | None = None
    mark: Mark | None = None
    upload: BodyPipe | None = None
    on_begin: object = None
    timer: object = None
    connection: object = None
    ended: bool = False

    def finish(self, outcome, answer=None):
        """End the exchange; does nothing after the first time."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(outcome, answer)

    def is_out_of_step(self, answer):
        """Return whether an answer bears another mark."""
        return self.mark is not None and self.mark.is_other(answer)

    def is_mismatched(self, answer):
        """Return whether an answer belongs to another exchange."""
        if self.mark is not None and self.mark.is_of_other_exchange(answer):
            return True
        if self.echo is None:
            return False
        name, own = self.echo
        ids = [value for key, value in answer.headers if key == name]
        return not ids or any(value != own for value in ids)
