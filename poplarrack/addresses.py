"""Take apart the addresses that settings and members hold."""


def split_address(address):
    """Return the host and the port number of ``host:port``.

    :raises ValueError: when there is no port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
