"""Define the frames of connections between nodes."""

from enum import IntEnum
from struct import Struct

FRAME_HEADER = Struct('>IBI')
# Bound on a frame's payload, which holds a whole body and its headers.
MAX_FRAME_BYTES = 72_000_000


class FrameKind(IntEnum):
    """Type of a frame's payload.

    PIECE, END and WINDOW are only sent to nodes that have sent a HELLO.
    """

    REQUEST = 1
    ANSWER = 2
    CANCEL = 3
    CONTROL = 4
    CONTROL_ANSWER = 5
    CONTROL_ERROR = 6
    PING = 7
    PONG = 8
    HELLO = 9
    PIECE = 10
    END = 11
    WINDOW = 12


def build_frame(kind, message_id, payload=b''):
    """Return the encoded frame."""
    return FRAME_HEADER.pack(len(payload), kind, message_id) + payload
