"""Shapes of the simulated meshes of many nodes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallKind:
    """A kind of request.

    ``per_second`` is its share of the arrivals of the mesh, ``inner_calls``
    how often a run calls ``inner_kind`` before it ends. ``work_spread`` is the
    standard deviation of the logarithm of the work.
    """

    name: str
    service: str
    per_second: float
    work_seconds: float
    target_seconds: float
    deadline_seconds: float
    rank: int = 2
    work_spread: float = 0.3
    inner_kind: str = ''
    inner_calls: int = 0


@dataclass(frozen=True)
class MeshShape:
    """The nodes of a mesh, their endpoints and the requests of its callers.

    Each node has one endpoint; ``service_shares`` are the fractions of them by
    service. ``load`` multiplies the arrivals of all kinds. ``failing_share``
    of the endpoints fail ``failure_rate`` of their requests, at once.
    ``learns_room`` says whether nodes learn the room of their endpoints.
    """

    nodes: int
    kinds: tuple[CallKind, ...]
    service_shares: tuple[tuple[str, float], ...]
    zones: tuple[tuple[str, str], ...]
    slots: int = 8
    speeds: tuple[float, ...] = (0.6, 1.0, 1.4)
    load: float = 1.0
    seconds: float = 12.0
    failing_share: float = 0.0
    failure_rate: float = 0.0
    learns_room: bool = False


EIGHT_ZONES = tuple(
    (region, f'{region}-{number}')
    for number in range(4)
    for region in ('south', 'north')
)
FOUR_ZONES = EIGHT_ZONES[:4]
COUNTER_KINDS = (
    CallKind(
        'browse',
        'front',
        480.0,
        0.75,
        2.0,
        12.0,
        2,
        inner_kind='list',
        inner_calls=1,
    ),
    CallKind('order', 'front', 154.0, 0.98, 3.0, 20.0, 1, 0.5),
    CallKind('payment', 'back', 136.0, 0.53, 1.5, 10.0, 0, 0.7),
    CallKind('list', 'back', 0.0, 0.19, 0.8, 2.5, 2, 0.5),
)


def counter_mesh(nodes, load, seconds=12.0):
    """Return the shape of a mesh with long runs on many small endpoints.

    A load of 1 is 4 requests a second and node.

    :param load: a multiple of it.
    """
    scale = nodes / 195
    return MeshShape(
        nodes,
        COUNTER_KINDS,
        (('front', 153 / 195), ('back', 42 / 195)),
        EIGHT_ZONES if nodes >= 64 else FOUR_ZONES,
        load=load * scale,
        seconds=seconds,
    )


LOOKUP_KINDS = (
    CallKind(
        'lookup',
        'entries',
        205.0,
        0.16,
        0.607,
        1.518,
        2,
        inner_kind='check',
        inner_calls=1,
    ),
    CallKind(
        'order',
        'press',
        84.1,
        0.21,
        1.019,
        2.548,
        1,
        0.8,
        inner_kind='index',
        inner_calls=1,
    ),
    CallKind(
        'listing',
        'breeds',
        87.8,
        0.4,
        1.207,
        3.018,
        2,
        0.5,
        inner_kind='roster',
        inner_calls=1,
    ),
    CallKind('plan', 'rings', 30.7, 0.64, 2.018, 5.046),
    CallKind('check', 'press', 0.0, 0.04, 0.158, 0.526, 1, 0.5),
    CallKind('index', 'breeds', 0.0, 0.04, 0.158, 0.526, 1, 0.5),
    CallKind('roster', 'rings', 0.0, 0.04, 0.158, 0.526, 1, 0.5),
)
TRANSFER_KINDS = (
    CallKind(
        'balance',
        'payments',
        469.0,
        0.14,
        0.663,
        4.421,
        2,
        inner_kind='code',
        inner_calls=1,
    ),
    CallKind('transfer', 'payments', 165.0, 0.19, 0.868, 5.426, 1),
    CallKind('statement', 'records', 75.6, 0.12, 0.971, 6.066),
    CallKind('history', 'records', 104.0, 0.58, 2.057, 12.344),
    CallKind('code', 'records', 0.0, 0.043, 0.208, 0.692, 2, 0.5),
)


def transfer_mesh(nodes, load, seconds=8.0):
    """Return the shape of a mesh of few slots on machines of uneven speed.

    A load of 1 is 12 requests a second and node.

    :param load: a multiple of it.
    """
    return MeshShape(
        nodes,
        TRANSFER_KINDS,
        (('payments', 38 / 66), ('records', 28 / 66)),
        FOUR_ZONES,
        slots=6,
        speeds=(0.6, 1.0, 1.6),
        load=load * nodes / 66,
        seconds=seconds,
    )


LOOKUP_SHARES = (
    ('entries', 20 / 65),
    ('press', 14 / 65),
    ('breeds', 20 / 65),
    ('rings', 11 / 65),
)


def lookup_mesh(nodes, load, seconds=8.0):
    """Return the shape of a mesh whose endpoints run short and long routes.

    Each service gets brief calls from runs of another one, which fail with
    them. A load of 1 is 6 requests a second and node.

    :param load: a multiple of it.
    """
    return MeshShape(
        nodes,
        LOOKUP_KINDS,
        LOOKUP_SHARES,
        FOUR_ZONES,
        slots=3,
        load=load * nodes / 65,
        seconds=seconds,
    )
