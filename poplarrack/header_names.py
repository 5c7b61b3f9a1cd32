"""Define the names of the headers that a mesh's callers and endpoints use.

The defaults are the project's own names; a platform with other names
supplies its own HeaderNames.
"""

from dataclasses import dataclass

from poplarrack.http_messages import CALL_HEADER
from poplarrack.http_messages import DEADLINE_HEADER
from poplarrack.http_messages import NOT_RUN_HEADER


@dataclass(frozen=True)
class HeaderNames:
    """Header names, in lower case.

    ``request_id`` identifies a caller's attempt and is echoed by endpoints.
    ``deadline_ms`` holds the milliseconds that the caller still waits.
    ``instance`` names the endpoint that a request is meant for,
    ``caller_service`` the service that sent it. ``not_run`` marks the answer
    to a request that an endpoint did not run, as do the status codes in
    ``not_run_statuses``. ``origin_stamp`` is on each answer that an endpoint
    made itself. ``credentials`` holds a caller's key, ``organisation`` the
    name of the organisation that holds it. Headers whose name is empty by
    default are optional.
    """

    request_id: bytes = CALL_HEADER
    deadline_ms: bytes = DEADLINE_HEADER
    not_run: bytes = NOT_RUN_HEADER
    instance: bytes = b''
    caller_service: bytes = b''
    origin_stamp: bytes = b''
    credentials: bytes = b'authorization'
    organisation: bytes = b''
    not_run_statuses: frozenset[int] = frozenset()

    @property
    def overwritten(self):
        """Return the headers whose values from a caller are discarded."""
        names = (self.deadline_ms, self.instance, self.caller_service)
        return frozenset(name for name in names if name)

    @property
    def of_organisations(self):
        """Return what is discarded as well in a mesh of organisations."""
        names = (self.credentials, self.organisation)
        return frozenset(name for name in names if name)
