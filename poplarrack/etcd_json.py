"""Encode and decode the JSON messages of the etcd v3 gateway.

Keys and values are encoded in base64, and 64-bit integers as strings.
"""

from base64 import b64decode
from base64 import b64encode

from poplarrack.stores import Compare
from poplarrack.stores import KeyValue
from poplarrack.stores import Operation


def encode_base64(data):
    """Return bytes or text in base64."""
    data = data.encode() if isinstance(data, str) else data
    return b64encode(data).decode()


def decode_base64(text):
    """Return the bytes that a base64 text encodes, no bytes for None."""
    return b64decode(text or '')


def prefix_end(prefix):
    """Return the exclusive end of the range of keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def encode_key_value(item):
    """Return a KeyValue as a JSON object."""
    encoded = {
        'key': encode_base64(item.key),
        'create_revision': str(item.create_revision),
        'mod_revision': str(item.mod_revision),
        'lease': str(item.lease_id),
    }
    if item.value is not None:
        encoded['value'] = encode_base64(item.value)
    return encoded


def decode_key_value(encoded, deleted=False):
    """Return the KeyValue of a JSON object."""
    return KeyValue(
        decode_base64(encoded['key']).decode(),
        None if deleted else decode_base64(encoded.get('value', '')),
        int(encoded.get('create_revision', 0)),
        int(encoded['mod_revision']),
        int(encoded.get('lease', 0)),
    )


def encode_compare(compare):
    """Return a Compare as a JSON object."""
    return {
        'key': encode_base64(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.mod_revision),
    }


def decode_compare(encoded):
    """Return the Compare of a JSON object."""
    return Compare(
        decode_base64(encoded['key']).decode(),
        int(encoded.get('mod_revision', 0)),
    )


def encode_operation(operation):
    """Return an Operation as a JSON object of a transaction."""
    key = encode_base64(operation.key)
    if operation.value is None:
        return {'request_delete_range': {'key': key}}
    put = {
        'key': key,
        'value': encode_base64(operation.value),
        'lease': str(operation.lease_id),
    }
    return {'request_put': put}


def decode_operation(encoded):
    """Return the Operation of a JSON object of a transaction."""
    if 'request_delete_range' in encoded:
        key = encoded['request_delete_range']['key']
        return Operation(decode_base64(key).decode(), None)
    put = encoded['request_put']
    return Operation(
        decode_base64(put['key']).decode(),
        decode_base64(put.get('value', '')),
        int(put.get('lease', 0)),
    )


def encode_event(item):
    """Return a KeyValue as the JSON object of a watch event."""
    kind = 'DELETE' if item.value is None else 'PUT'
    return {'type': kind, 'kv': encode_key_value(item)}


def decode_event(encoded):
    """Return the KeyValue of a watch event's JSON object."""
    deleted = encoded.get('type') == 'DELETE'
    return decode_key_value(encoded['kv'], deleted)
