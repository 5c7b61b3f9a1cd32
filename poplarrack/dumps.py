"""Dump the state of a node as JSON values."""

from msgspec import to_builtins

from poplarrack.moves import effective_share
from poplarrack.store_histories import describe_revision


def dump_node(node, traffic):
    """Return the state of a node for its dump page.

    :param node: the Node.
    :param traffic: the PeerTraffic of the node.
    """
    facts = node.blackboard.facts
    knowledge = facts.knowledge
    return {
        'node': to_builtins(facts.own),
        'lifecycle': to_builtins(facts.lifecycle),
        'configuration': _dump_configuration(knowledge),
        'topology': to_builtins(facts.topology),
        'members': [
            to_builtins(member)
            for member in knowledge.members.members.values()
        ],
        'contacts': to_builtins(facts.contacts),
        'reports': {
            node_id: {
                'arrived_at': received.arrived_at,
                'nodes': received.report.nodes,
                'lowest_revision': received.report.lowest_revision,
            }
            for node_id, received in facts.reports.items()
        },
        'platform': to_builtins(facts.platform),
        'traffic': vars(traffic),
        'platform_bytes': node.dependencies.platform.bytes,
        'rejected_entries': dict(node.dependencies.platform.rejected_entries),
        'moves': _dump_moves(knowledge),
        'verdicts': to_builtins(dict(knowledge.verdicts)),
        'evidence': to_builtins(facts.cells),
        'servers': node.dispatcher.dump_servers(),
        'calls': dict(node.dispatcher.counts),
        **_dump_organisations(node.dispatcher),
        'last_decisions': {
            name: {'at': at, 'decision': repr(decision)}
            for name, (at, decision) in node.last_decisions.items()
        },
    }


def _dump_configuration(knowledge):
    configuration = knowledge.configuration
    return {
        'revision': configuration.revision,
        'revision_in_history': describe_revision(configuration.revision),
        'generation': configuration.snapshot.generation,
        'digest': f'{configuration.snapshot.digest:016x}',
        'settings': len(configuration.snapshot.entries),
        'rejected': to_builtins(knowledge.rejection),
        'services': to_builtins(configuration.services),
        'evacuated_zones': sorted(configuration.evacuated_zones),
        'routes': to_builtins(configuration.routes),
    }


def _dump_organisations(dispatcher):
    dump = getattr(dispatcher, 'dump_organisations', None)
    return {'organisations': dump()} if dump else {}


def _dump_moves(knowledge):
    return {
        service: {
            'record': to_builtins(move),
            'share_here': effective_share(move, knowledge.verdicts),
        }
        for service, move in knowledge.configuration.moves.items()
    }
