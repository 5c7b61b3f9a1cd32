"""Encode the platform's published JSON interface (etcd v3 gateway).

Keys and values travel in base64 and 64-bit integers as strings.
"""

from base64 import b64decode
from base64 import b64encode

from poplarrack.stores import Compare
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation


def pack(raw):
    """Return bytes or text in base64."""
    raw = raw.encode() if isinstance(raw, str) else raw
    return b64encode(raw).decode()


def unpack(text):
    """Return the bytes behind base64 text."""
    return b64decode(text or '')


def prefix_end(prefix):
    """Return the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def pack_key_value(item):
    """Return a key-value as the interface's JSON object."""
    packed = {
        'key': pack(item.key),
        'create_revision': str(item.create_revision),
        'mod_revision': str(item.mod_revision),
        'lease': str(item.lease_id),
    }
    if item.value is not None:
        packed['value'] = pack(item.value)
    return packed


def unpack_key_value(packed, deleted=False):
    """Return a KeyValue from the interface's JSON object."""
    return KeyValue(
        unpack(packed['key']).decode(),
        None if deleted else unpack(packed.get('value', '')),
        int(packed.get('create_revision', 0)),
        int(packed['mod_revision']),
        int(packed.get('lease', 0)),
    )


def pack_compare(compare):
    """Return a compare on a key's last write."""
    return {
        'key': pack(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.mod_revision),
    }


def unpack_compare(packed):
    """Return a Compare from the interface's JSON object."""
    return Compare(
        unpack(packed['key']).decode(), int(packed.get('mod_revision', 0))
    )


def pack_operation(operation):
    """Return a put or a delete inside a transaction."""
    key = pack(operation.key)
    if operation.value is None:
        return {'request_delete_range': {'key': key}}
    put = {
        'key': key,
        'value': pack(operation.value),
        'lease': str(operation.lease_id),
    }
    return {'request_put': put}


def unpack_operation(packed):
    """Return an Operation from the interface's JSON object."""
    if 'request_delete_range' in packed:
        key = packed['request_delete_range']['key']
        return Operation(unpack(key).decode(), None)
    put = packed['request_put']
    return Operation(
        unpack(put['key']).decode(),
        unpack(put.get('value', '')),
        int(put.get('lease', 0)),
    )


def pack_event(item):
    """Return a watch event."""
    kind = 'DELETE' if item.value is None else 'PUT'
    return {'type': kind, 'kv': pack_key_value(item)}


def unpack_event(packed):
    """Return the KeyValue of a watch event."""
    deleted = packed.get('type') == 'DELETE'
    return unpack_key_value(packed['kv'], deleted)
