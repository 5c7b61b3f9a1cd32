"""Build the requests that a sending node offers to endpoints' nodes."""

from poplarrack.destination_states import ROUND_TRIP_SECONDS
from poplarrack.exchanges import RoutedRequest
from poplarrack.http_messages import connection_options
from poplarrack.http_messages import is_end_to_end


def build_routed_request(
    call,
    placement,
    header_names,
    caller_service,
    now,
    loads=(),
    has_organisations=False,
):
    """Build the offer of a call.

    Headers of the caller's connection, and those that the mesh sets itself,
    are left out.

    :param call: the Call.
    :param placement: the Placement that was chosen for it.
    :param header_names: the HeaderNames of the mesh.
    :param caller_service: the service on the machine of the sending node.
    :param now: seconds on the clock of the call's deadline.
    :param loads: the EndpointLoads to pass on to the other node.
    :param has_organisations: whether callers show keys, which are left out.
    :returns: a RoutedRequest.
    """
    request, route = call.request, call.route
    # The outcome must be back by the deadline: a request that was not run
    # would be taken for one that may have been.
    travel_seconds = ROUND_TRIP_SECONDS[placement.state.destination.tier]
    connection_headers = connection_options(request.headers)
    overwritten = header_names.overwritten
    if has_organisations:
        overwritten |= header_names.of_organisations
    headers = [
        (name, value)
        for name, value in request.headers
        if is_end_to_end(name)
        and name not in connection_headers
        and name not in overwritten
    ]
    return RoutedRequest(
        call.request_id,
        request.method,
        request.target,
        headers,
        request.body,
        call.service,
        placement.state.destination.endpoint.instance_id,
        caller_service,
        max(1, int((call.deadline - now - travel_seconds) * 1000)),
        int(placement.max_wait_seconds * 1000),
        call.rank,
        route.repeatable,
        placement.spare_slot_fraction,
        max(0, int((call.target_at - now - travel_seconds) * 1000)),
        call.arrivals > 0,
        loads,
        call.organisation.name if call.organisation else '',
        route.name,
        0 if request.upload is None else request.upload.length or -1,
        call.offers > 1,
    )
