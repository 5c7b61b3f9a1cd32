"""Build the requests that a receiving node sends to its endpoint."""

from poplarrack.http_messages import build_request
from poplarrack.http_messages import HttpRequest


def build_forwarded_request(
    request, endpoint, header_names, remaining_seconds, upload=None
):
    """Return a request's head and, unless that follows, its body, as bytes.

    The headers that the mesh sets are added.

    :param request: the RoutedRequest.
    :param endpoint: the Endpoint.
    :param header_names: the HeaderNames of the mesh.
    :param remaining_seconds: the time until the caller's deadline.
    :param upload: the BodyPipe of a body that follows, or None.
    """
    names = header_names
    deadline_ms = max(1, int(remaining_seconds * 1000))
    headers = [(names.deadline_ms, b'%d' % deadline_ms)]
    if names.instance and endpoint.instance_id:
        headers.append((names.instance, endpoint.instance_id.encode()))
    if names.caller_service:
        headers.append((names.caller_service, request.caller_service.encode()))
    if names.organisation and request.organisation:
        headers.append((names.organisation, request.organisation.encode()))
    header_lines = [b'%s: %s\r\n' % header for header in headers]
    forwarded = HttpRequest(
        request.method, request.target, request.headers, request.body
    )
    forwarded.upload = upload
    return build_request(forwarded, endpoint.address, b''.join(header_lines))
