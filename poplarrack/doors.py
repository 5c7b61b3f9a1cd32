"""Tell what the configuration lets the local endpoint's node admit."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from poplarrack.candidates import common_regions
from poplarrack.candidates import find_exclusion
from poplarrack.resources import Organisation
from poplarrack.resources import Service
from poplarrack.routers import Router


@dataclass(frozen=True)
class Door:
    """What a receiving node refuses, however old its senders' knowledge is.

    ``region`` and ``zone`` are its own. The other fields are those of its
    RoutingTable.
    """

    region: str = ''
    zone: str = ''
    evacuated_zones: frozenset[str] = frozenset()
    router: Router = field(default_factory=Router)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)

    @property
    def is_evacuated(self):
        """Return whether the node's own zone is evacuated."""
        return self.zone in self.evacuated_zones

    def find_refusal(self, request):
        """Return why a RoutedRequest may not run here, or an empty string.

        A name that the node does not know bounds nothing: the sending node
        may have a newer configuration.
        """
        route = self.router.by_name.get(request.route)
        organisation = self.organisations.get(request.organisation)
        regions = common_regions(
            route and route.regions, organisation and organisation.regions
        )
        return find_exclusion(
            self.region, self.zone, regions, self.evacuated_zones
        )

    def cold_rate(self, service):
        """Return a service's cold_calls_per_second, or None if unknown."""
        found = self.services.get(service)
        return None if found is None else found.cold_calls_per_second


def derive_door(locality, table):
    """Return the Door of a node.

    :param locality: what has the node's ``region`` and ``zone``.
    :param table: its RoutingTable.
    """
    return Door(
        locality.region,
        locality.zone,
        table.evacuated_zones,
        table.router,
        table.organisations,
        table.services,
    )
