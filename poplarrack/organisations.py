"""Find the organisation of a caller by the key that it shows."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from poplarrack.resources import digest_key
from poplarrack.resources import Organisation

SCHEME = b'bearer'
# Longer keys are unknown, so that none has to be digested.
MAX_KEY_BYTES = 1_024
# Distance of the ranks of organisations; a greater rank of a route counts as
# the greatest below it.
RANK_STEP = 1_000


class StaleKeys(Enum):
    """What a node does with keys while it may have missed a revocation.

    LAST_KNOWN: it takes those of the last version that it knows.
    REFUSED: it refuses all calls that need a key until it is in touch again.
    """

    LAST_KNOWN = 'last_known'
    REFUSED = 'refused'


@dataclass(frozen=True)
class KeyIndex:
    """The organisations of a configuration by the digests of their keys.

    A digest that several organisations hold is in ``shared`` with their
    names. It identifies none of them, and no other one either.
    """

    by_digest: dict[str, Organisation] = field(default_factory=dict)
    shared: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def find(self, key):
        """Return the Organisation that holds a key, or None.

        :param key: bytes, or None.
        """
        if not key or len(key) > MAX_KEY_BYTES:
            return None
        return self.by_digest.get(digest_key(key))


def build_key_index(organisations):
    """Return the KeyIndex of Organisations by name."""
    by_digest = {}
    shared = {}
    for name, organisation in sorted(organisations.items()):
        for digest in organisation.key_digests:
            holder = by_digest.setdefault(digest, organisation)
            if holder is not organisation:
                names = shared.get(digest, (holder.name,))
                shared[digest] = (*names, name)
    for digest in shared:
        del by_digest[digest]
    return KeyIndex(by_digest, shared)


def read_key(headers, header_name=b'authorization'):
    """Return the key that a caller shows, or None if it shows no single one.

    :param headers: pairs of name in lower case and value, as bytes.
    :param header_name: the name of the header that holds it.
    """
    keys = {
        _parse_credentials(value)
        for name, value in headers
        if name == header_name
    }
    return keys.pop() if len(keys) == 1 else None


def _parse_credentials(value):
    parts = value.split()
    if len(parts) != 2 or parts[0].lower() != SCHEME:
        return None
    return parts[1]


def rank_of(organisation, route):
    """Return the rank of a call in a mesh of organisations.

    That of the organisation goes before the route's, which orders the calls
    of organisations of one rank.

    :param organisation: the Organisation, or None if the route is public.
    """
    route_rank = first = route.queue_rank
    if organisation is not None and organisation.rank is not None:
        first = organisation.rank
    return first * RANK_STEP + max(0, min(RANK_STEP - 1, route_rank))
