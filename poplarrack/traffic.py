"""Count the control traffic between nodes."""


class PeerTraffic:
    """Count control messages and bytes, in and out."""

    def __init__(self):
        self.messages_in = 0
        self.messages_out = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def record_received(self, raw):
        """Count a received message."""
        self.messages_in += 1
        self.bytes_in += len(raw)

    def record_sent(self, raw):
        """Count a sent message."""
        self.messages_out += 1
        self.bytes_out += len(raw)
