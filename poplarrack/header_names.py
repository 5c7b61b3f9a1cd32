"""Name the headers that callers and endpoints of a mesh use.

The project's own names are the defaults; a platform with other names
gives its own HeaderNames.
"""

from dataclasses import dataclass

from poplarrack.http_messages import CALL_HEADER
from poplarrack.http_messages import DEADLINE_HEADER
from poplarrack.http_messages import NOT_RUN_HEADER


@dataclass(frozen=True)
class HeaderNames:
    """Header names, in lower case.

    ``request_id`` names a caller's attempt and is echoed by endpoints;
    ``deadline_ms`` tells how long the caller still waits; ``instance``
    names the endpoint that a request is meant for and ``caller_service``
    the service beside which it began. ``not_run`` marks an endpoint's
    answer to a request that it did not run; ``proof`` is on each answer
    that an endpoint made.
    ``not_run_statuses`` say the same by their number alone.
    """

    request_id: bytes = CALL_HEADER
    deadline_ms: bytes = DEADLINE_HEADER
    not_run: bytes = NOT_RUN_HEADER
    instance: bytes = b''
    caller_service: bytes = b''
    proof: bytes = b''
    not_run_statuses: frozenset[int] = frozenset()

    @property
    def overwritten(self):
        """Return the headers that are never passed on as they came."""
        names = (self.deadline_ms, self.instance, self.caller_service)
        return frozenset(name for name in names if name)
