"""Hold the state of a Sender's calls and log their outcomes."""

from dataclasses import dataclass
from dataclasses import field
import logging

from poplarrack.body_pipes import BodyPipe
from poplarrack.destination_states import DestinationState
from poplarrack.exchanges import Delivery
from poplarrack.http_messages import HttpRequest
from poplarrack.resources import Organisation
from poplarrack.resources import Route

logger = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Call:
    """A caller's request while the sending node handles it.

    ``offers`` counts the nodes that it was offered to, ``arrivals`` the
    endpoints that it may have reached. During a move, ``version`` is the new
    version or, if the call goes to the old one, an empty string. ``stage`` is
    the share in thousandths by which the version was chosen: that of the move
    or, if all calls went to one version, 0 or FULL_SHARE_STAGE.
    ``inherited_repeat`` is the probability that a repeated run made the call,
    if the local endpoint did. ``organisation`` is that of the caller's key,
    ``rank`` orders the call where it waits; 0 is served first.
    ``cold_seconds`` is how much longer endpoints that refused it are cold.
    ``answer_body`` is the BodyPipe of the last answer, if that is long.
    ``is_within_limit`` says that it was counted against a limit.
    ``caller_deadline`` is when its caller stops waiting, 0 if that is not
    known, and ``first_at`` when the caller sent it for the first time.
    """

    request: HttpRequest
    respond: object
    started_at: float
    request_id: bytes = b''
    route: Route | None = None
    service: str = ''
    version: str | None = None
    stage: int = 0
    caller_deadline: float = 0.0
    first_at: float = 0.0
    deadline: float = 0.0
    target_at: float = 0.0
    offers: int = 0
    arrivals: int = 0
    inherited_repeat: float = 0.0
    organisation: Organisation | None = None
    rank: int = 0
    is_within_limit: bool = False
    tried_instances: set = field(default_factory=set)
    busy_instances: set = field(default_factory=set)
    has_queued: bool = False
    cold_seconds: float = 0.0
    may_have_run: bool = False
    last_state: DestinationState | None = None
    last_failure: Delivery | None = None
    answer_body: BodyPipe | None = None
    task: object = None
    ended: bool = False

    @property
    def return_key(self):
        """Return what a call that comes back has in common with this one."""
        name = self.organisation.name if self.organisation else ''
        return self.route.name, name

    @property
    def is_spent(self):
        """Return whether a part of its body is no longer held.

        Such a call can't be sent to another endpoint.
        """
        upload = self.request.upload
        return upload is not None and upload.opened


def log_retried(call, state, delivery):
    """Log that a call is retried at another endpoint."""
    logger.info(
        'request_retried',
        extra={
            'request': call.request_id.decode('latin-1'),
            'service': call.service,
            'route': call.route.name,
            'instance': state.destination.endpoint.instance_id,
            'verdict': delivery.verdict.name.lower(),
            'reason': delivery.reason or f'status {delivery.status}',
            'arrivals': call.arrivals,
        },
    )


def log_retry_over_budget(call):
    """Log that the retry budget does not allow a call's retry."""
    logger.info(
        'retry_over_budget',
        extra={
            'request': call.request_id.decode('latin-1'),
            'service': call.service,
            'route': call.route.name,
            'arrivals': call.arrivals,
        },
    )


def log_over_limit(call, basis, retry_after):
    """Log that a call is over its organisation's limit.

    :param basis: what the decision was based on, by name.
    """
    logger.info(
        'over_limit',
        extra={
            'request': call.request_id.decode('latin-1'),
            'organisation': call.organisation.name,
            'route': call.route.name,
            'retry_after': round(retry_after, 2),
            **basis,
        },
    )


def log_internal_error(call):
    """Log an unexpected exception with its traceback."""
    logger.exception(
        'request_failed_internally',
        extra={'request': call.request_id.decode('latin-1')},
    )


def log_ended(call, table, outcome, detail, now):
    """Log the outcome of a call and what the last choice was based on.

    :param table: the RoutingTable in force.
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
            'organisation': call.organisation.name
            if call.organisation
            else '',
            'rank': call.rank,
            'outcome': outcome,
            'detail': detail,
            'may_have_run': call.may_have_run,
            'offers': call.offers,
            'arrivals': call.arrivals,
            'inherited_repeat': round(call.inherited_repeat, 3),
            'last': last,
            'revision': table.revision,
            'routes': len(table.router.routes),
            'configured_ms_ago': round((now - table.configured_at) * 1000)
            if table.configured_at
            else None,
            'ms': round((now - call.started_at) * 1000, 1),
            'target_left_ms': round((call.target_at - now) * 1000, 1)
            if call.target_at
            else None,
        },
    )


def _describe(state, now):
    """Return the reported load of an endpoint and the report's age."""
    was_reported = state.reported_at >= 0
    return {
        'node': state.destination.node_id,
        'instance': state.destination.endpoint.instance_id,
        'running': state.reported_running if was_reported else None,
        'reported_ms_ago': round((now - state.reported_at) * 1000)
        if was_reported
        else None,
    }
