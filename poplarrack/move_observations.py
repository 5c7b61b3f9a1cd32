"""What the worker of a move sees of its service and of the calls to it."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from poplarrack.evidence import ENTIRE_STAGE
from poplarrack.evidence import Side
from poplarrack.evidence import stage_of


@dataclass(frozen=True)
class MoveObservation:
    """The state of a service on which its move's worker decides.

    ``new_slots`` counts the slots of the new version's servers whose slow
    start has ended, ``busy_slots`` the slots of all versions that calls
    occupy now. ``new_calls_by_stage`` has the calls to the new version by
    the share, in thousandths, at which they were sent.
    """

    findings: tuple = ()
    verdict: object = None
    new_servers: int = 0
    new_slots: float = 0.0
    old_slots: float = 0.0
    busy_slots: float = 0.0
    new_calls_by_stage: Mapping[int, int] = field(default_factory=dict)

    def calls_at(self, share):
        """Return the calls to the new version sent at a share."""
        return self.new_calls_by_stage.get(stage_of(share), 0)


def count_new_calls(move_id, cells):
    """Return the number of calls to a move's new version by stage."""
    calls = Counter()
    for cell in cells:
        key = cell.key
        counted = key.move_id == move_id and key.epoch == ENTIRE_STAGE
        if counted and key.side is Side.NEW:
            calls[key.stage] += cell.calls
    return calls
