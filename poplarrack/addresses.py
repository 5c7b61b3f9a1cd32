"""Parse the addresses of settings and members."""


def split_address(address):
    """Return the host and the port number of ``host:port``.

    :raises ValueError: if there is no valid port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
