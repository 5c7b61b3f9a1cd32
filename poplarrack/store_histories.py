"""Order what the store says across its returns from older copies.

A store that returns from a copy gives revisions out again: the same number
may stand on other content. It numbers its histories. Inside the product a
revision is one integer that begins with the history, counted from the first
one that the nodes know of, so that any two of them compare as they came
about. In the first history, and of a store that numbers none, it is the
store's own revision.
"""

import logging
from threading import Lock

logger = logging.getLogger(__name__)

REVISION_BITS = 40
# So that revisions and numbers of histories fit into 63 bits of a message.
MAX_HISTORIES = 2**23
MAX_NUMBER_DIGITS = 18
# Lines on headers that can't be read, and on late answers, for one process.
MAX_COMPLAINTS = 20


def place_revision(history, revision):
    """Return a store's revision as one of the product.

    :param history: the number of its history, from 0 on.
    """
    return (history << REVISION_BITS) | revision if revision else 0


def history_of(revision):
    """Return the number of the history that gave a revision out."""
    return revision >> REVISION_BITS


def store_revision(revision):
    """Return a revision as the store gave it out."""
    return revision & ((1 << REVISION_BITS) - 1)


def describe_revision(revision):
    """Return a revision for operators, with its history from the second on."""
    history = history_of(revision)
    if not history:
        return str(revision)
    return f'{history}:{store_revision(revision)}'


class StoreHistories:
    """What a process knows of the store's histories, by their numbers.

    ``first`` is the earliest that any node known to this one has heard of,
    ``newest`` the latest that the store named; both are None until then.
    Several threads use it at once.
    """

    def __init__(self):
        self.first = None
        self.newest = None
        self.complaints = 0
        self.lock = Lock()

    def hear(self, raw):
        """Take the number that an answer of the store bears.

        :param raw: text, None if the answer bears none.
        :returns: the number, or the newest one if the text is none; 0 if no
            answer has borne one.
        """
        number = self._parse(raw)
        with self.lock:
            if number is None:
                return self.newest or 0
            before = self.newest
            if before is None or number > before:
                self.newest = number
            if self.first is None:
                self.first = number
        if before is not None and number > before:
            logger.warning(
                'store_returned', extra={'before': before, 'after': number}
            )
        elif before is not None and number < before:
            self._complain('answer_of_earlier_history', number=number)
        return number

    def _parse(self, raw):
        if raw is None:
            if self.newest is not None:
                self._complain('store_history_missing')
            return None
        is_number = raw.isascii() and raw.isdigit()
        if is_number and len(raw) <= MAX_NUMBER_DIGITS:
            return int(raw)
        self._complain('store_history_unreadable', text=raw[:40])
        return None

    def _complain(self, event, **fields):
        if self.complaints < MAX_COMPLAINTS:
            self.complaints += 1
            logger.warning(event, extra=fields)

    def hear_first(self, number):
        """Take the first history that another node knows of, or None."""
        if number is None:
            return
        with self.lock:
            if self.first is None or number < self.first:
                self.first = number

    def is_newest(self, number):
        """Return whether no answer has borne a later number."""
        return number == (self.newest or 0)

    def count_from_first(self, number):
        """Return the number of a history as revisions begin with it."""
        counted = number - (self.first or 0)
        return max(0, min(counted, MAX_HISTORIES - 1))

    @property
    def current(self):
        """Return the newest history as revisions begin with it."""
        return self.count_from_first(self.newest or 0)
