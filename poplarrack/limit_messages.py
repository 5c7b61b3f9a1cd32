"""Define what nodes tell each other of organisations' calls.

They are encoded as MessagePack arrays without field names, since nodes tell
them several times a second.
"""

from msgspec import Struct


class CallCount(Struct, frozen=True, array_like=True):
    """Calls of an organisation since the last message: made and passed.

    Those that were given back are taken off, also from earlier messages.
    """

    organisation: str
    made: int
    passed: int


class CallTotal(Struct, frozen=True, array_like=True):
    """The calls of an organisation and what its bucket holds.

    Whole numbers take a third of the bytes of others.
    """

    organisation: str
    made_in_ten_seconds: int
    level: int


class CallCounts(Struct, frozen=True, array_like=True):
    """What a node tells the next one up the tree, for itself and below."""

    node_id: str
    counts: tuple[CallCount, ...] = ()


class CallTotals(Struct, frozen=True, array_like=True):
    """The answer: the totals near their limits, if any are known.

    ``age_ms`` is the time since the lead added them up.
    """

    known: bool = False
    totals: tuple[CallTotal, ...] = ()
    age_ms: int = 0
