"""Hold a caller's request on its way, and log what became of it."""

from dataclasses import dataclass
from dataclasses import field
import logging

from poplarrack.exchanges import Delivery
from poplarrack.http_messages import HttpRequest
from poplarrack.placements import DestinationState
from poplarrack.resources import Route

logger = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Call:
    """A caller's request on its way through the sending node."""

    request: HttpRequest
    respond: object
    began: float
    request_id: bytes = b''
    route: Route | None = None
    service: str = ''
    version: str | None = None
    stage: int = 0
    deadline: float = 0.0
    target: float = 0.0
    offers: int = 0
    arrivals: int = 0
    tried: set = field(default_factory=set)
    busy: set = field(default_factory=set)
    queued: bool = False
    may_have_run: bool = False
    last_state: DestinationState | None = None
    last_failure: Delivery | None = None
    task: object = None
    ended: bool = False


def log_retry(call, state, delivery):
    """Log that a call goes on to another endpoint."""
    logger.info(
        'request_retried',
        extra={
            'request': call.request_id.decode('latin-1'),
            'instance': state.destination.endpoint.instance_id,
            'verdict': delivery.verdict.name.lower(),
            'reason': delivery.reason or f'status {delivery.status}',
            'arrivals': call.arrivals,
        },
    )


def log_failure(call):
    """Log an error of the code itself with its traceback."""
    logger.exception(
        'request_failed_inside',
        extra={'request': call.request_id.decode('latin-1')},
    )


def log_end(call, revision, outcome, detail, now):
    """Log how a call ended and what that rested on.

    :param revision: the configuration in force.
    """
    last = {}
    if call.last_state is not None:
        last = _describe(call.last_state, now)
    logger.info(
        'request_ended',
        extra={
            'request': call.request_id.decode('latin-1'),
            'route': call.route.name if call.route else '',
            'service': call.service,
            'outcome': outcome,
            'detail': detail,
            'may_have_run': call.may_have_run,
            'offers': call.offers,
            'arrivals': call.arrivals,
            'last': last,
            'revision': revision,
            'ms': round((now - call.began) * 1000, 1),
        },
    )


def _describe(state, now):
    """Return what was known of an endpoint, and how old it is."""
    told = state.reported_at >= 0
    return {
        'node': state.destination.node_id,
        'instance': state.destination.endpoint.instance_id,
        'running': state.reported_running if told else None,
        'reported_ms_ago': round((now - state.reported_at) * 1000)
        if told
        else None,
    }
