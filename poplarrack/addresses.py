"""Parse the addresses of settings, members and backend servers."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address):
    """Return the host and the port number of ``host:port``.

    Port 0 lets a server listen on any free port.

    :raises ValueError: without a host and a port of up to ``MAX_PORT``.
    """
    host, _, port = str(address).rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if host and is_number and len(port) <= MAX_PORT_DIGITS:
        number = int(port)
        if number <= MAX_PORT:
            return host, number
    raise ValueError(f'{address!r:.80} is not host:port')


def split_destination(address):
    """Return the host and the port number of an address to connect to.

    :raises ValueError: as ``split_address`` does, and for port 0.
    """
    host, port = split_address(address)
    if port == 0:
        raise ValueError(f'{address!r:.80} has port 0')
    return host, port
