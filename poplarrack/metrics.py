"""Expose a node's metrics in the Prometheus text format.

The counters are plain numbers in the objects that count. The client library
is imported on the first scrape, so that nodes that are never scraped save its
memory.
"""

from collections import Counter
import re

from poplarrack.errors import ANSWERS
from poplarrack.evidence import ENTIRE_STAGE
from poplarrack.pages import Page
from poplarrack.store_histories import history_of

# Keys of a Sender's counts of one service, which are labelled with it.
SERVICE_COUNTS = (
    'calls',
    'retries',
    'retries_over_budget',
    'inherited_repeats',
)


# The same for an organisation. Labels are bounded: each costs the server that
# collects them memory.
ORGANISATION_COUNTS = ('calls', 'over_limit')
# Keys of a Receiver's counts of one rank.
RANK_COUNTS = (
    'received',
    'sent',
    'late',
    'not_run_at_once',
    'not_run_after_wait',
)
MAX_LABELLED_ORGANISATIONS = 100
OTHER_ORGANISATIONS = '(other)'


def build_metrics_page(server):
    """Return a page with the metrics of a node's process.

    :param server: the node's server, such as a NodeServer.
    """
    from prometheus_client import CollectorRegistry
    from prometheus_client.exposition import CONTENT_TYPE_LATEST
    from prometheus_client.exposition import generate_latest

    registry = CollectorRegistry()
    registry.register(NodeCollector(server))
    return Page(200, CONTENT_TYPE_LATEST, generate_latest(registry))


class NodeCollector:
    """A Prometheus collector that reads a node's state."""

    def __init__(self, server):
        self.server = server
        self.node = server.node

    def collect(self):
        """Yield the metric families, as prometheus_client asks for them."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily

        facts = self.node.blackboard.facts
        gauges = {
            'configuration_revision': facts.knowledge.configuration.revision,
            'rejected_revision': (
                facts.knowledge.rejection.revision
                if facts.knowledge.rejection
                else 0
            ),
            'members_present': sum(
                member.present
                for member in facts.knowledge.members.members.values()
            ),
            'calls_in_flight': self.node.dispatcher.in_flight,
            'verdicts': len(facts.knowledge.verdicts),
            'is_fetcher': int(facts.topology.is_fetcher),
            'is_worker': int(facts.topology.is_worker),
            'platform_watching': int(facts.platform.watching),
            'configuration_history': history_of(
                facts.knowledge.configuration.revision
            ),
            'store_history': facts.platform.history or 0,
            'evacuated_zones': len(
                facts.knowledge.configuration.evacuated_zones
            ),
            'rejected_entries': len(self.server.platform.rejected_entries),
        }
        for name, value in gauges.items():
            text = name.replace('_', ' ')
            yield GaugeMetricFamily(f'poplarrack_{name}', text, value)
        yield from self._collect_moves(facts)
        yield self._collect_own_answers()
        traffic = self.server.traffic
        counters = {
            'peer_messages_in': traffic.messages_in,
            'peer_messages_out': traffic.messages_out,
            'peer_bytes_in': traffic.bytes_in,
            'peer_bytes_out': traffic.bytes_out,
            'platform_calls': self.server.platform.calls,
        }
        counters.update(
            (f'call_{name}', count)
            for name, count in sorted(self.node.dispatcher.counts.items())
        )
        receiver = getattr(self.server, 'receiver', None)
        if receiver is not None:
            yield from self._collect_room(GaugeMetricFamily, receiver)
            counters.update(
                (f'endpoint_{name}', count)
                for name, count in sorted(receiver.counts.items())
            )
            yield from self._collect_latency()
            yield from self._collect_services()
            yield from self._collect_organisations()
            yield from self._collect_ranks(receiver)
        for name, value in counters.items():
            name = re.sub(r'\W', '_', name)
            text = name.replace('_', ' ')
            yield CounterMetricFamily(f'poplarrack_{name}', text, value)

    def _collect_own_answers(self):
        """Return how many calls the node ended itself.

        All kinds are there from the start, so that the first one of a kind
        shows as an increase.
        """
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(
            'poplarrack_own_answers',
            'calls that the node ended itself, by its status and the kind',
            labels=['status', 'kind'],
        )
        counts = self.node.dispatcher.counts
        for kind, answer in ANSWERS.items():
            family.add_metric(
                [str(answer.http_status), kind.value],
                counts[f'refused_{kind.value}'],
            )
        return family

    def _collect_room(self, family, receiver):
        """Yield how many requests the endpoint may run, and the slots."""
        admission = receiver.admission
        for name, value in (
            ('endpoint_room', admission.room),
            ('endpoint_slots', admission.slots),
            ('endpoint_running', admission.running),
        ):
            text = name.replace('_', ' ')
            yield family(f'poplarrack_{name}', text, value)

    def _collect_moves(self, facts):
        """Yield the shares of moves and the calls that this node counted.

        The label ``share`` is the share under which the calls are counted.
        """
        from prometheus_client.core import GaugeMetricFamily

        shares = GaugeMetricFamily(
            'poplarrack_move_share',
            'share of calls to the new version, as recorded',
            labels=['service', 'state'],
        )
        services = {}
        for service, move in facts.knowledge.configuration.moves.items():
            services[move.move_id] = service
            shares.add_metric([service, move.state.value], move.share)
        yield shares
        calls, failures = Counter(), Counter()
        for cell in facts.cells:
            key = cell.key
            if key.epoch == ENTIRE_STAGE and key.move_id in services:
                labels = (
                    services[key.move_id],
                    key.side.name.lower(),
                    f'{key.stage / 1000:g}',
                )
                calls[labels] += cell.calls
                failures[labels] += cell.failures
        for name, counts in (('calls', calls), ('failures', failures)):
            family = GaugeMetricFamily(
                f'poplarrack_move_{name}',
                f'{name} held in memory as evidence on a move',
                labels=['service', 'side', 'share'],
            )
            for labels, count in sorted(counts.items()):
                family.add_metric(list(labels), count)
            yield family

    def _collect_services(self):
        from prometheus_client.core import CounterMetricFamily

        for name in SERVICE_COUNTS:
            family = CounterMetricFamily(
                f'poplarrack_service_{name}',
                name.replace('_', ' '),
                labels=['service'],
            )
            counts_by_service = self.node.dispatcher.counts_by_service
            for service, counts in sorted(counts_by_service.items()):
                family.add_metric([service], counts[name])
            yield family

    def _collect_organisations(self):
        """Yield counts by organisation, of those beyond a number together."""
        from prometheus_client.core import CounterMetricFamily

        by_name = self.node.dispatcher.counts_by_organisation
        for name in ORGANISATION_COUNTS:
            counts = Counter()
            for number, organisation in enumerate(sorted(by_name)):
                label = organisation
                if number >= MAX_LABELLED_ORGANISATIONS:
                    label = OTHER_ORGANISATIONS
                counts[label] += by_name[organisation][name]
            family = CounterMetricFamily(
                f'poplarrack_organisation_{name}',
                name.replace('_', ' '),
                labels=['organisation'],
            )
            for label, count in counts.items():
                family.add_metric([label], count)
            yield family

    def _collect_ranks(self, receiver):
        """Yield what the endpoint's node did with requests, by rank."""
        from prometheus_client.core import CounterMetricFamily

        for name in RANK_COUNTS:
            family = CounterMetricFamily(
                f'poplarrack_endpoint_rank_{name}',
                f'{name.replace("_", " ")}, by rank',
                labels=['rank'],
            )
            for rank, counts in receiver.counts_by_rank.items():
                family.add_metric([str(rank)], counts[name])
            yield family

    def _collect_latency(self):
        from prometheus_client.core import HistogramMetricFamily

        latencies = self.node.dispatcher.latencies
        yield HistogramMetricFamily(
            'poplarrack_call_seconds',
            'time from a call to its answer',
            latencies.cumulative(),
            latencies.total_seconds,
        )
