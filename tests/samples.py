"""Builders of small settings and records with defaults for tests."""

from json import dumps

from poplarrack.members import Endpoint
from poplarrack.members import Member
from poplarrack.members import MemberTable
from poplarrack.members import merge_members
from poplarrack.resources import Move
from poplarrack.snapshots import build_snapshot
from poplarrack.snapshots import Entry


def service_json(name='front', version='v1', **overrides):
    return dumps({'name': name, 'version': version, **overrides}).encode()


def route_json(name='front', target='front', **overrides):
    value = {'name': name, 'prefix': '/', 'service': target, **overrides}
    return dumps(value).encode()


CHANGES = {'t/services/front': service_json(), 't/routes/front': route_json()}


def snapshot(revision=1, changes=None):
    changes = CHANGES if changes is None else changes
    return build_snapshot(
        revision,
        [Entry(path, value, revision) for path, value in changes.items()],
    )


def member(node_id, zone='a', region='south', **overrides):
    fields = {'incarnation': 1, 'sequence': 1, 'peer_address': node_id}
    return Member(node_id, region=region, zone=zone, **{**fields, **overrides})


def endpoint(address='127.0.0.1:1', version='v1', **overrides):
    fields = {'slots': 10, 'max_connections': 110, **overrides}
    return Endpoint('front', version, address, **fields)


def member_table(*members):
    return merge_members(MemberTable(), members).table


def move(**overrides):
    fields = {
        'service': 'front',
        'from_version': 'v1',
        'to_version': 'v2',
        'complete_by': 1000.0,
        'move_id': 'm1',
        'started_at': 0.0,
        **overrides,
    }
    return Move(**fields)
