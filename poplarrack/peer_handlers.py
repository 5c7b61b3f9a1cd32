"""Handle the control messages of other nodes."""

from poplarrack.blackboards import ChildReport
from poplarrack.errors import PoplarrackError
from poplarrack.joiners import answer_sync
from poplarrack.limit_exchanges import serve_counts
from poplarrack.messages import DigestsAnswer
from poplarrack.messages import ProbeAnswer
from poplarrack.messages import ReportAnswer
from poplarrack.messages import UpdatesAnswer

HANDLERS = {}


def handles(method):
    """Register the coroutine function that handles a method."""

    def register(handle):
        HANDLERS[method] = handle
        return handle

    return register


def bind_handlers(node):
    """Return the handlers by method, bound to a node.

    Each takes a message and returns the answer.
    """

    def bind(handle):
        async def serve(message):
            return await handle(node, message)

        return serve

    return {method: bind(handle) for method, handle in HANDLERS.items()}


@handles('Compare')
async def on_compare(node, digests):
    """Return the own digests, with bucket digests where members differ."""
    node.check_content(digests)
    node.record_beat(digests.node_id)
    own = node.digests()
    buckets = ()
    if digests.members != own.members:
        buckets = node.knowledge.members.buckets
    return DigestsAnswer(own, buckets)


@handles('Sync')
async def on_sync(node, request):
    """Merge the other node's records and return what it lacks."""
    return answer_sync(node, request)


@handles('Push')
async def on_push(node, updates):
    """Merge updates and return whether their delta was stale."""
    stale = node.merge_updates(updates, updates.sender)
    return UpdatesAnswer(node.digests(), stale)


@handles('Probe')
async def on_probe(node, request):
    """Return whether the target answers this node."""
    try:
        await node.dependencies.peers.call(
            request.target, 'Compare', node.digests()
        )
    except PoplarrackError:
        return ProbeAnswer(False)
    return ProbeAnswer(True)


@handles('Count')
async def on_count(node, counts):
    """Record the calls of organisations and return their totals."""
    return serve_counts(node, counts)


@handles('Gather')
async def on_gather(node, report):
    """Record the report of a subtree, a zone or a region."""
    reports = dict(node.facts.reports)
    reports[report.node_id] = ChildReport(report, node.clock())
    node.blackboard.write('reports', reports=reports)
    return ReportAnswer(node.digests())
