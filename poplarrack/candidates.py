"""Keep calls away from endpoints that may not serve them.

Each list of candidates passes this filter: for first attempts, queues, trials
and repeats alike. Homes are the regions that a route or an organisation may be
served in; an evacuated zone's endpoints get nothing.
"""

from poplarrack.placements import DestinationGroup

# Why an endpoint is no candidate.
HOME = 'home'
EVACUATED = 'evacuated'
# Distinct filters whose results a group keeps.
MAX_KEPT_FILTERS = 256


def common_regions(*bounds):
    """Return the regions that all bounds allow, or None for anywhere.

    :param bounds: collections of regions; None bounds nothing.
    :returns: a frozenset, which may be empty, or None.
    """
    common = None
    for regions in bounds:
        if regions is None:
            continue
        common = (
            frozenset(regions)
            if common is None
            else common.intersection(regions)
        )
    return common


def regions_of(call, table):
    """Return the regions that a call may be served in, None: anywhere.

    Those of its start bind, and those that the configuration has now.

    :param call: the Call.
    :param table: the RoutingTable in force.
    """
    route, organisation = call.route, call.organisation
    now = table.router.by_name.get(route.name, route)
    regions = common_regions(route.regions, now.regions)
    if organisation is None:
        return regions
    now = table.organisations.get(organisation.name, organisation)
    return common_regions(regions, organisation.regions, now.regions)


def find_exclusion(region, zone, regions, evacuated_zones):
    """Return why an endpoint may not serve a call, or an empty string.

    :param region: the endpoint's region.
    :param zone: the endpoint's availability zone.
    :param regions: the regions that the call may be served in, or None.
    :param evacuated_zones: the zones whose endpoints get nothing.
    """
    if regions is not None and region not in regions:
        return HOME
    if zone in evacuated_zones:
        return EVACUATED
    return ''


def filter_group(group, regions, evacuated_zones):
    """Return the DestinationGroup of those that may serve a call.

    The result is kept in the group, so that a further call with the same
    homes costs one look-up.
    """
    if regions is None and not evacuated_zones:
        return group
    key = (regions, evacuated_zones)
    kept = group.filtered.get(key)
    if kept is None:
        if len(group.filtered) >= MAX_KEPT_FILTERS:
            group.filtered.clear()
        kept = group.filtered[key] = DestinationGroup(
            state
            for state in group
            if not find_exclusion(
                state.destination.region,
                state.destination.zone,
                regions,
                evacuated_zones,
            )
        )
    return kept


def explain_exclusion(group, regions, evacuated_zones):
    """Return why none of a group's endpoints may serve a call.

    :returns: HOME or EVACUATED, or an empty string if one may, or there is
        none.
    """
    reasons = {
        find_exclusion(
            state.destination.region,
            state.destination.zone,
            regions,
            evacuated_zones,
        )
        for state in group
    }
    if not reasons or '' in reasons:
        return ''
    return EVACUATED if EVACUATED in reasons else HOME
