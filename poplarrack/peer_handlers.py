"""Answer the messages of other nodes."""

from poplarrack.blackboards import ChildReport
from poplarrack.errors import PoplarrackError
from poplarrack.joiners import answer_sync
from poplarrack.messages import DigestsAnswer
from poplarrack.messages import ProbeAnswer
from poplarrack.messages import ReportAnswer
from poplarrack.messages import UpdatesAnswer

HANDLERS = {}


def handles(method):
    """Register the coroutine that answers a method."""

    def register(handle):
        HANDLERS[method] = handle
        return handle

    return register


def bind_handlers(node):
    """Return the handlers by method, each taking a message only."""

    def bind(handle):
        async def serve(message):
            return await handle(node, message)

        return serve

    return {method: bind(handle) for method, handle in HANDLERS.items()}


@handles('Compare')
async def on_compare(node, digests):
    """Answer with the own digests, and buckets where members differ."""
    own = node.digests()
    buckets = ()
    if digests.members != own.members:
        buckets = node.knowledge.members.buckets
    return DigestsAnswer(own, buckets)


@handles('Sync')
async def on_sync(node, request):
    """Answer with what the other node lacks."""
    return answer_sync(node, request)


@handles('Push')
async def on_push(node, updates):
    """Take news; say whether they did not fit."""
    stale = node.merge_updates(updates, updates.sender)
    return UpdatesAnswer(node.digests(), stale)


@handles('Probe')
async def on_probe(node, request):
    """Say whether a node answers from here."""
    try:
        await node.dependencies.peers.call(
            request.target, 'Compare', node.digests()
        )
    except PoplarrackError:
        return ProbeAnswer(False)
    return ProbeAnswer(True)


@handles('Gather')
async def on_gather(node, report):
    """Keep the report of a subtree or a zone."""
    reports = dict(node.facts.reports)
    reports[report.node_id] = ChildReport(report, node.clock())
    node.blackboard.write('reports', reports=reports)
    return ReportAnswer(node.digests())
