"""Ask the kernel about a connection's socket, beside the event loop."""

import select


def poll_now(transport, events):
    """Return whether a transport's socket is in one of some states.

    :param events: poll events, such as ``select.POLLIN``.
    """
    connection = transport.get_extra_info('socket')
    if connection is None or connection.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return any(event & events for _, event in poll.poll(0))
