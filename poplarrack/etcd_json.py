"""Encode the platform's published JSON interface (etcd v3 gateway).

Keys and values travel in base64 and 64-bit integers as strings.
"""

from base64 import b64decode
from base64 import b64encode

from poplarrack.stores import Compare
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation


def encode_base64(raw):
    """Return bytes or text in base64."""
    raw = raw.encode() if isinstance(raw, str) else raw
    return b64encode(raw).decode()


def decode_base64(text):
    """Return the bytes behind base64 text."""
    return b64decode(text or '')


def prefix_end(prefix):
    """Return the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def encode_key_value(item):
    """Return a key-value as the interface's JSON object."""
    packed = {
        'key': encode_base64(item.key),
        'create_revision': str(item.create_revision),
        'mod_revision': str(item.mod_revision),
        'lease': str(item.lease_id),
    }
    if item.value is not None:
        packed['value'] = encode_base64(item.value)
    return packed


def decode_key_value(packed, deleted=False):
    """Return a KeyValue from the interface's JSON object."""
    return KeyValue(
        decode_base64(packed['key']).decode(),
        None if deleted else decode_base64(packed.get('value', '')),
        int(packed.get('create_revision', 0)),
        int(packed['mod_revision']),
        int(packed.get('lease', 0)),
    )


def encode_compare(compare):
    """Return a compare on a key's last write."""
    return {
        'key': encode_base64(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.mod_revision),
    }


def decode_compare(packed):
    """Return a Compare from the interface's JSON object."""
    return Compare(
        decode_base64(packed['key']).decode(),
        int(packed.get('mod_revision', 0)),
    )


def encode_operation(operation):
    """Return a put or a delete inside a transaction."""
    key = encode_base64(operation.key)
    if operation.value is None:
        return {'request_delete_range': {'key': key}}
    put = {
        'key': key,
        'value': encode_base64(operation.value),
        'lease': str(operation.lease_id),
    }
    return {'request_put': put}


def decode_operation(packed):
    """Return an Operation from the interface's JSON object."""
    if 'request_delete_range' in packed:
        key = packed['request_delete_range']['key']
        return Operation(decode_base64(key).decode(), None)
    put = packed['request_put']
    return Operation(
        decode_base64(put['key']).decode(),
        decode_base64(put.get('value', '')),
        int(put.get('lease', 0)),
    )


def encode_event(item):
    """Return a watch event."""
    kind = 'DELETE' if item.value is None else 'PUT'
    return {'type': kind, 'kv': encode_key_value(item)}


def decode_event(packed):
    """Return the KeyValue of a watch event."""
    deleted = packed.get('type') == 'DELETE'
    return decode_key_value(packed['kv'], deleted)
