"""Explain where a request would go now, and why, without sending it.

The choice is made by the functions that place requests, on copies of what the
node knows of the endpoints, so that nothing is sent and no state changes.
"""

from collections import Counter
from copy import copy
from copy import deepcopy
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qsl

from poplarrack.candidates import common_regions
from poplarrack.candidates import find_exclusion
from poplarrack.destination_states import ROUND_TRIP_SECONDS
from poplarrack.errors import ANSWERS
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.placements import choose_destination
from poplarrack.placements import choose_queue
from poplarrack.placements import DestinationGroup
from poplarrack.placements import RemainingTime
from poplarrack.placements import wait_bound

# The choice draws endpoints at random; it is made so often.
TRIALS = 200
OPTIONAL_FIELDS = ('organisation', 'deadline_ms')


@dataclass(frozen=True)
class Question:
    """A request that is not sent.

    ``organisation`` is the name of the caller's, '' for one without a key.
    ``deadline_seconds`` is how long the caller would wait, None if it does
    not say.
    """

    host: str
    method: str
    path: str
    organisation: str = ''
    deadline_seconds: float | None = None


def parse_question(query):
    """Return the Question of a page's query.

    :param query: such as ``host=shop.example&path=/a/&method=GET``; only the
        path must be given.
    :raises PoplarrackError: MALFORMED_REQUEST for other queries.
    """
    fields = dict(parse_qsl(query))
    unknown = set(fields) - {'host', 'method', 'path', *OPTIONAL_FIELDS}
    if unknown or not fields.get('path', '').startswith('/'):
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST,
            'wanted: path, and optionally host, method, organisation and'
            ' deadline_ms',
        )
    deadline_ms = fields.get('deadline_ms', '')
    if not deadline_ms.isdigit() and 'deadline_ms' in fields:
        raise PoplarrackError(
            ErrorKind.MALFORMED_REQUEST, 'deadline_ms is a whole number'
        )
    return Question(
        fields.get('host', ''),
        fields.get('method', 'GET').upper(),
        fields['path'],
        fields.get('organisation', ''),
        int(deadline_ms) / 1000 if deadline_ms else None,
    )


def explain(sender, question, now):
    """Return what would become of a request, as builtins for JSON.

    :param sender: the Sender of the node; nothing of it is changed.
    :param question: the Question.
    :param now: seconds since the epoch.
    :returns: a mapping with the ``question``, the ``revision`` of the
        configuration, ``outcome`` (``placed`` or the value of an ErrorKind),
        ``why``, and, once a route matches, ``route`` and ``services`` with
        what was weighed at each.
    """
    table = sender.table
    answer = {'question': vars(question), 'revision': table.revision}
    host = question.host.lower().partition(':')[0]
    route = table.router.match(question.method, question.path, host)
    if route is None:
        return _refused(answer, *sender.explain_mismatch(now))
    answer['route'] = route.name
    organisation = table.organisations.get(question.organisation)
    if table.organisations and not route.public:
        refusal = sender.explain_key(
            organisation, bool(question.organisation), now
        )
        if refusal is not None:
            return _refused(answer, *refusal)
    regions = common_regions(
        route.regions, organisation and organisation.regions
    )
    if organisation is not None and not route.public:
        # A copy admits it, so that it uses nothing of the limit.
        limits = deepcopy(sender.call_limits)
        answer['limit'] = limits.describe(organisation, now)
        if limits.admit(organisation, now) is not None:
            return _refused(
                answer, ErrorKind.RATE_LIMITED, 'over the limit of calls'
            )
    seconds = min(
        route.timeout_seconds, question.deadline_seconds or float('inf')
    )
    target = min(seconds, route.target_latency_seconds or seconds)
    total = sum(item.weight for item in route.weighted_services) or 1.0
    answer['services'] = [
        {
            'service': item.service,
            'share': round(item.weight / total, 4),
            **_explain_service(
                sender, route, item.service, regions, (target, seconds), now
            ),
        }
        for item in route.weighted_services
    ]
    kinds = [item['outcome'] for item in answer['services']]
    answer['outcome'] = 'placed' if 'placed' in kinds else kinds[0]
    answer['why'] = answer['services'][kinds.index(answer['outcome'])]['why']
    return answer


def _refused(answer, kind, why):
    return {**answer, 'outcome': kind.value, 'why': why}


def exit_code_of(answer):
    """Return the exit code of a command that shows an explanation."""
    if answer['outcome'] == 'placed':
        return 0
    return ANSWERS[ErrorKind(answer['outcome'])].exit_code


def _explain_service(sender, route, service, regions, times, now):
    """Return what was weighed at the endpoints of one service."""
    states = [
        copy(state) for state in sender.destinations.for_service(service)
    ]
    _record_own_load(sender, states, now)
    evacuated = sender.table.evacuated_zones
    excluded = {
        state: find_exclusion(
            state.destination.region,
            state.destination.zone,
            regions,
            evacuated,
        )
        for state in states
    }
    group = DestinationGroup(state for state in states if not excluded[state])
    split = sender.table.moves.get(service)
    remaining = RemainingTime(
        *times, sender.run_times.factor_of(service, route.name)
    )
    chosen, kind, why = _draw(group, split, remaining, now)
    return {
        'outcome': kind,
        'why': why,
        'run_factor': round(remaining.run_factor, 3),
        'endpoints': [
            {
                **_figures_of(state, remaining, now),
                'chosen': round(chosen[state] / TRIALS, 3),
                'passed_over': ''
                if chosen[state]
                else excluded[state] or _reason(state, chosen, remaining, now),
            }
            for state in sorted(
                states,
                key=lambda state: (
                    -chosen[state],
                    state.expected_latency(now, remaining.run_factor),
                ),
            )
        ],
    }


def _record_own_load(sender, states, now):
    """Record the load of the local endpoint in the copy of its state."""
    endpoint = sender.receiver.endpoint
    for state in states:
        if endpoint is not None and (
            state.destination.endpoint.instance_id == endpoint.instance_id
        ):
            state.record_occupancy(sender.receiver.occupancy(), now)


def _draw(group, split, remaining, now):
    """Return how often each state is chosen, the outcome and the reason."""
    if not len(group):
        return Counter(), ErrorKind.NO_ENDPOINT.value, 'no endpoint may serve'
    # The same question gets the same answer while nothing changes.
    random = Random(0)
    chosen, why = Counter(), ''
    for _ in range(TRIALS):
        part = _version_of(group, split, random)
        placement = choose_destination(part, remaining, (), now, random)
        if placement is not None:
            why = why or 'expected to answer within the target latency'
        else:
            placement = choose_queue(
                part, remaining, (), now, random, already_offered=False
            )
            why = 'all are busy: it waits where the answer comes first'
        if placement is not None:
            chosen[placement.state] += 1
    if not chosen:
        kind = ErrorKind.OVERLOADED.value
        return chosen, kind, 'no endpoint is expected to answer in time'
    return chosen, 'placed', why


def _version_of(group, split, random):
    """Return the endpoints of the version that a move's share would give."""
    if split is None:
        return group
    new, old = group.split_by_version(split.to_version)
    if not old or (new and random.random() < split.share):
        return new
    return old


def _figures_of(state, remaining, now):
    destination = state.destination
    age = now - state.reported_at if state.reported_at >= 0 else None
    return {
        'instance': destination.endpoint.instance_id,
        'node': destination.node_id,
        'version': destination.endpoint.version,
        'tier': destination.tier.name.lower(),
        'slots': destination.endpoint.slots,
        'room': state.room,
        'running': round(state.running(now), 2),
        'own_calls': state.in_flight,
        'service_ms': round(state.service_seconds * 1000, 1),
        'wait_ms': round(state.expected_wait(now) * 1000, 1),
        'max_wait_ms': round(wait_bound(state, remaining) * 1000, 1),
        'latency_ms': round(
            state.expected_latency(now, remaining.run_factor) * 1000, 1
        ),
        'round_trip_ms': ROUND_TRIP_SECONDS[destination.tier] * 1000,
        'failure_rate': round(
            max(state.failure_rate, state.reported_failure_rate), 3
        ),
        'report_age_ms': None if age is None else round(age * 1000),
        'ejected_ms': max(0, round((state.ejected_until - now) * 1000)),
        'avoided_ms': max(0, round((state.away_until - now) * 1000)),
    }


def _reason(state, chosen, remaining, now):
    """Return why an endpoint that may serve the request was passed over."""
    if state.away_until > now:
        return 'avoided: its node did not answer or run a request'
    if state.ejected_until > now:
        return 'ejected: too many of its answers failed'
    latency = state.expected_latency(now, remaining.run_factor)
    if latency > remaining.target_seconds:
        return 'too slow for the target latency'
    if state.expected_wait(now) > wait_bound(state, remaining):
        return 'the wait is too long'
    if any(
        other.destination.tier < state.destination.tier for other in chosen
    ):
        return 'a nearer one answers in time'
    return 'others are expected to answer sooner'


def describe_explanation(answer):
    """Return an explanation as lines of text for operators."""
    question = answer['question']
    asked = f'{question["method"]} {question["host"]}{question["path"]}'
    lines = [
        f'{asked}: {answer["outcome"]}, {answer["why"]}',
        f'revision {answer["revision"]}, route {answer.get("route", "none")}',
    ]
    for service in answer.get('services', ()):
        lines.append(
            f'{service["service"]} ({service["share"]:.0%} of the calls):'
            f' {service["outcome"]}, {service["why"]}'
        )
        lines += [_describe_endpoint(item) for item in service['endpoints']]
    return '\n'.join(lines)


def _describe_endpoint(item):
    age = item['report_age_ms']
    told = 'nothing told yet' if age is None else f'told {age} ms ago'
    verdict = item['passed_over'] or f'chosen {item["chosen"]:.0%}'
    return (
        f'  {item["instance"]} at {item["node"]} ({item["tier"]}):'
        f' running {item["running"]:g} of {item["room"]:g}'
        f' ({item["slots"]} slots), service {item["service_ms"]:g} ms,'
        f' wait {item["wait_ms"]:g} ms, answer in {item["latency_ms"]:g} ms,'
        f' failing {item["failure_rate"]:.0%}, {told}: {verdict}'
    )
