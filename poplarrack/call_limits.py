"""Hold organisations to limits on their calls over all nodes together.

Load answered: a few hundred nodes share the limits of tens of organisations,
one of which suddenly sends many times its usual, or whose calls come through
other nodes from one second to the next.

Each node counts the calls that its organisations make. The counts go up the
tree to the lead of the region and from there to the leads of the others. A
lead keeps, for each organisation, the calls per second over all nodes and a
token bucket, and tells both down the tree where an organisation comes near
its limit. A node then takes two decisions on a call, which both have to let it
pass:

- By what it was told it lets the fraction pass that the limit has room for,
  so that many nodes with few calls each share one bucket.
- By its part of the calls as they were told, it holds a token bucket of its
  own. That bounds what passes before a change is told to all.

A node that starts knows nothing, and has an equal part of the limit until it
is told more. One that is cut off keeps to the part that it had, which the
others reserve for it.
"""

from dataclasses import replace

from poplarrack.limit_messages import CallCount
from poplarrack.limit_messages import CallTotal
from poplarrack.limit_messages import CallTotals
from poplarrack.limit_states import LimitState
from poplarrack.limit_states import Reporter
from poplarrack.limit_states import SILENCE_SECONDS

# What organisations that are not told of are taken to use of their limit.
# Those that use more, or whose bucket is emptier, are told of.
CALM_FRACTION = 0.7
# What is to be left in a bucket of all nodes, as a part of the burst, and the
# time in which it is filled up to that again.
LEVEL_FRACTION = 0.2
REFILL_SECONDS = 1.0
# Age of the own rate that a node derives its part from; as old as what it is
# told of the others.
PART_DELAY_SECONDS = 0.6
# Without a message for so long, a node keeps to its part, and after a longer
# time it takes itself for cut off.
FRESH_SECONDS = 1.5
CUT_OFF_SECONDS = 2.0
# How long a lead that was told nothing before its start waits for counts.
SETTLING_SECONDS = 1.5
# How long the calls of a node that is no longer heard of are reserved.
RESERVED_SECONDS = 10.0
# Calls that all nodes together may let pass beyond their parts at the start.
SPARE_CALLS = 5
# Part of the limit, divided by the number of nodes, that each node may use at
# least while the organisation is not near its limit.
LEAST_PART = 1.0
# Powers of the fraction of calls that may pass. The less that is, the less a
# node has of what its slow rate and what is spare would give it.
SLOW_POWER = 8
SPARE_POWER = 4
# Part of a burst that counts as rate where limits hold for windows.
SPREAD_FRACTION = 0.8
# Least part of a limit that is left beside nodes that are cut off.
MIN_PART_LEFT = 0.05
# Calls per second that a node with a small part may let pass beyond it while
# the organisation is not near its limit.
SPARE_CALLS_PER_SECOND = 0.7
SPARE_FACTOR = 3.0
# Factor by which a node may exceed its part, since few calls come unevenly;
# what it was told keeps the sum of all nodes to the limit.
TOLERANCE = 1.3
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 4.0


def spread_burst(organisation, window_seconds):
    """Return an Organisation part of whose burst counts as rate.

    A limit that holds for windows allows a burst in each of them. What is
    spread no longer comes at once.
    """
    if not window_seconds or not organisation.calls_per_second:
        return organisation
    spread = SPREAD_FRACTION * organisation.burst
    return replace(
        organisation,
        calls_per_second=organisation.calls_per_second
        + spread / window_seconds,
        burst=organisation.burst - spread,
    )


class CallLimits:
    """A node's part of the limits of all organisations.

    :param random: a ``random.Random``.
    :param window_seconds: the length of the windows in each of which a burst
        is allowed, 0 if it is allowed once and then at the rate of the limit.
    """

    def __init__(self, random, window_seconds=0.0):
        self.random = random
        self.window_seconds = window_seconds
        # The Organisations as configured, and with their bursts spread.
        self.configured = {}
        self.organisations = {}
        self.node_count = 1
        self.states = {}
        self.reporters = {}
        self.is_lead = False
        # When the totals were added up that the node was told of last.
        self.told_at = None
        self.lead_since = None
        self.stepped_at = None

    def set_organisations(self, organisations, node_count):
        """Apply the Organisations by name and the number of nodes."""
        self.node_count = max(1, node_count)
        if organisations is self.configured:
            return
        self.configured = organisations
        self.organisations = {
            name: spread_burst(organisation, self.window_seconds)
            for name, organisation in organisations.items()
        }
        for name in self.states.keys() - organisations.keys():
            del self.states[name]

    def _state(self, organisation, now):
        state = self.states.get(organisation.name)
        if state is None:
            if self.told_at is None:
                spare = SPARE_CALLS / self.node_count
                tokens = float(self.random.random() < spare)
                level = 0.0
            else:
                burst = self.configured[organisation.name].burst
                tokens = 1 + max(1.0, self._least_part() * burst)
                level = organisation.burst
            state = LimitState(tokens, self.random.random(), now, level=level)
            self.states[organisation.name] = state
        return state

    # Decisions on calls.

    def admit(self, organisation, now):
        """Count a call and decide whether it may pass.

        :returns: None, or the seconds after which to try again.
        """
        organisation = self.organisations.get(organisation.name, organisation)
        if not organisation.calls_per_second:
            return None
        state = self._state(organisation, now)
        state.made += 1
        state.own.add(1, now)
        state.slow.add(1, now)
        fraction = self._fraction(organisation, state)
        self._fill(organisation, state, fraction, now)
        state.credit = min(2.0, state.credit + fraction)
        if state.tokens < 1 or state.credit < 1:
            return self._retry_after(organisation, state)
        state.tokens -= 1
        state.credit -= 1
        state.passed += 1
        return None

    def take_back(self, organisation, now):
        """Take back a call that passed and was refused without being run.

        Only calls that run count against a limit.
        """
        organisation = self.organisations.get(organisation.name)
        if organisation is None or not organisation.calls_per_second:
            return
        state = self._state(organisation, now)
        state.made -= 1
        state.passed -= 1
        state.own.add(-1, now)
        state.slow.add(-1, now)
        state.tokens += 1
        state.credit += 1

    def _fraction(self, organisation, state):
        """Return the fraction of calls that the limit has room for."""
        made = state.made_per_second
        rate = organisation.calls_per_second
        surplus = state.level - LEVEL_FRACTION * organisation.burst
        room = rate + surplus / REFILL_SECONDS
        if made <= 0 or made <= room:
            return 1.0
        return max(0.0, room / made)

    def _fill(self, organisation, state, fraction, now):
        """Add to the node's own bucket what its part has earned."""
        rate = organisation.calls_per_second
        part = self._part(organisation, state, now)
        is_fresh = self._is_informed(now, FRESH_SECONDS)
        if is_fresh:
            part = max(part, fraction**SLOW_POWER * state.slow_part)
            if fraction == 1:
                part = max(part, self._least_part())
        per_second = part * rate
        burst = self.configured[organisation.name].burst
        capacity = max(1.0, part * burst)
        if is_fresh:
            per_second *= TOLERANCE
            per_second += (
                self._freshness(now)
                * fraction**SPARE_POWER
                * min(SPARE_CALLS_PER_SECOND, SPARE_FACTOR * per_second)
            )
            capacity += max(fraction**SPARE_POWER, min(1.0, 2 * part * burst))
        elapsed = max(0.0, now - state.filled_at)
        state.filled_at = now
        state.tokens = min(capacity, state.tokens + elapsed * per_second)

    def _freshness(self, now):
        """Return how far the totals can be relied on, from 0 to 1."""
        age = now - self.told_at
        return min(1.0, max(0.0, 1.5 * (1 - age / FRESH_SECONDS)))

    def _least_part(self):
        """Return the part of a node without calls, far from the limit."""
        return LEAST_PART / self.node_count

    def _is_informed(self, now, seconds=CUT_OFF_SECONDS):
        return self.told_at is not None and now - self.told_at <= seconds

    def _part(self, organisation, state, now):
        """Return the node's part of the limit, from 0 to 1."""
        if self.told_at is None:
            return CALM_FRACTION / self.node_count
        if not self._is_informed(now):
            return CALM_FRACTION * state.part
        made = max(
            state.made_per_second,
            CALM_FRACTION * organisation.calls_per_second,
        )
        own, slow = self._told_rates(state)
        own = min(own, TOLERANCE * state.own.at(now))
        state.part = min(1.0, own / made)
        state.slow_part = min(1.0, slow / made)
        return state.part

    def _told_rates(self, state):
        """Return the own rates that the totals contain by now."""
        past, before = state.past_rates, self.told_at - PART_DELAY_SECONDS
        while len(past) > 1 and past[1][0] <= before:
            past.popleft()
        return past[0][1] if past and past[0][0] <= before else (0.0, 0.0)

    def _retry_after(self, organisation, state):
        """Return when to try again.

        The more is asked beyond the limit, the longer the time over which
        returns are spread, since room comes at the rate of the limit.
        """
        excess = (
            max(0.0, state.made_per_second) / organisation.calls_per_second
        )
        longest = min(MAX_RETRY_AFTER_SECONDS, max(1.0, excess))
        return MIN_RETRY_AFTER_SECONDS + self.random.random() * longest

    # What operators see.

    def describe(self, organisation, now):
        """Return what a decision on an organisation's call was based on.

        Rates are per second, those of all nodes as they were told of last;
        None stands for what the node was not told.
        """
        state = self._state(organisation, now)
        made = state.made_per_second
        told = self.told_at is not None
        return {
            'limit': organisation.calls_per_second,
            'burst': organisation.burst,
            'made_on_all_nodes': round(made, 1) if made >= 0 else None,
            'left_of_burst': round(state.level, 1),
            'told_ms_ago': round((now - self.told_at) * 1000)
            if told
            else None,
            'made_here': round(state.own.at(now), 1),
            'part_here': round(state.part, 3),
        }

    def nearest(self, number, now):
        """Return the organisations nearest to their limits, described.

        :param number: how many at most.
        """
        fractions = sorted(
            (
                (
                    max(state.made_per_second, state.own.at(now))
                    / self.organisations[name].calls_per_second,
                    name,
                )
                for name, state in self.states.items()
                if self.organisations[name].calls_per_second
            ),
            reverse=True,
        )
        return {
            name: self.describe(self.organisations[name], now)
            for _, name in fractions[:number]
        }

    # What nodes tell each other.

    def step(self, is_lead, far_leads, now):
        """Advance the totals of a lead and record the own rates.

        :param is_lead: whether the node adds up the counts of its region.
        :param far_leads: the ids of the nodes that do so elsewhere.
        """
        elapsed = 0.0
        if self.stepped_at is not None:
            elapsed = max(0.0, now - self.stepped_at)
        self.stepped_at = now
        if is_lead and not self.is_lead:
            self.lead_since = now
        self.is_lead = is_lead
        self._keep_reporters(far_leads if is_lead else (), now)
        for state in self.states.values():
            rates = state.own.at(now), state.slow.at(now)
            state.past_rates.append((now, rates))
            if self.told_at is not None:
                self._told_rates(state)
        if is_lead:
            self._step_lead(elapsed, now)
        else:
            self._count_silent(elapsed, now)

    def _keep_reporters(self, far_leads, now):
        """Forget nodes that were silent for long, except leads.

        The limit of a region that was never heard is reserved as well.
        """
        for node_id in far_leads:
            if node_id not in self.reporters:
                self.reporters[node_id] = Reporter(
                    now - SILENCE_SECONDS,
                    usual_part=1 / (1 + len(far_leads)),
                )
        oldest = now - RESERVED_SECONDS
        self.reporters = {
            node_id: reporter
            for node_id, reporter in self.reporters.items()
            if reporter.heard_at >= oldest or node_id in far_leads
        }

    def _count_silent(self, elapsed, now):
        """Count calls of nodes below that are cut off, as they last were."""
        for reporter in self.reporters.values():
            if not reporter.is_silent(now):
                continue
            for name, (made, passed) in reporter.rates.items():
                state = self.states.get(name)
                if state is not None:
                    state.made += self._round(made * elapsed)
                    state.passed += self._round(passed * elapsed)

    def _round(self, number):
        """Return a number as a whole one that has the same mean."""
        return int(number + self.random.random())

    def _step_lead(self, elapsed, now):
        settled = now - self.lead_since >= SETTLING_SECONDS
        if settled or self._is_informed(now):
            self.told_at = now
        for organisation in self.organisations.values():
            rate = organisation.calls_per_second
            if not rate:
                continue
            state = self._state(organisation, now)
            left = self._add_up(organisation, state, now)
            state.level += elapsed * rate * left - state.taken
            state.taken = 0
            state.level = min(
                organisation.burst, max(-rate * REFILL_SECONDS, state.level)
            )

    def _add_up(self, organisation, state, now):
        """Set the calls per second of all nodes.

        What silent nodes had of the limit stays theirs: the calls of the
        others are taken for as many more.

        :returns: the part of the limit that the others have.
        """
        name = organisation.name
        made = state.own.at(now)
        left = 1.0
        for reporter in self.reporters.values():
            if reporter.is_silent(now):
                left -= reporter.parts.get(name, reporter.usual_part)
            else:
                made += reporter.made_per_second(name)
        left = max(MIN_PART_LEFT, left)
        state.made_per_second = made / left
        if made > MIN_PART_LEFT * organisation.calls_per_second:
            for reporter in self.reporters.values():
                if not reporter.is_silent(now):
                    of_reporter = reporter.made_per_second(name)
                    reporter.parts[name] = left * of_reporter / made
        return left

    def collect_counts(self):
        """Return the CallCounts since the last message and begin anew."""
        counts = []
        for name, state in self.states.items():
            if state.made or state.passed:
                counts.append(CallCount(name, state.made, state.passed))
                if self.is_lead:
                    state.taken += state.passed
                state.made = state.passed = 0
        return tuple(counts)

    def restore_counts(self, counts, now):
        """Take back counts that may not have arrived."""
        for count in counts:
            organisation = self.organisations.get(count.organisation)
            if organisation is not None:
                state = self._state(organisation, now)
                state.made += count.made
                state.passed += count.passed

    def learn_counts(self, node_id, counts, passes_on, now):
        """Record the counts of another node.

        :param passes_on: whether they go further up with the own ones; those
            of another region's lead don't.
        """
        reporter = self.reporters.setdefault(node_id, Reporter(now))
        reporter.learn(counts, now)
        for count in counts:
            organisation = self.organisations.get(count.organisation)
            if organisation is None:
                continue
            state = self._state(organisation, now)
            if passes_on:
                state.made += count.made
                state.passed += count.passed
            elif self.is_lead:
                state.taken += count.passed

    def forget(self, node_ids):
        """Forget nodes that tell their counts elsewhere by now."""
        for node_id in node_ids:
            self.reporters.pop(node_id, None)

    def tell(self, now):
        """Return the CallTotals for the nodes below."""
        if not self._is_informed(now):
            return CallTotals()
        totals = []
        for name, state in self.states.items():
            organisation = self.organisations[name]
            if self._is_near(organisation, state):
                totals.append(
                    CallTotal(
                        name,
                        round(state.made_per_second * 10),
                        round(state.level),
                    )
                )
        age_ms = int((now - self.told_at) * 1000)
        return CallTotals(True, tuple(totals), age_ms)

    def _is_near(self, organisation, state):
        rate = organisation.calls_per_second
        return rate > 0 and (
            state.made_per_second > CALM_FRACTION * rate
            or state.level < CALM_FRACTION * organisation.burst
        )

    def learn_totals(self, answer, now):
        """Apply the CallTotals of the next node up the tree."""
        told_at = now - answer.age_ms / 1000
        if not answer.known or told_at < (self.told_at or 0.0):
            return
        self.told_at = told_at
        told = {total.organisation: total for total in answer.totals}
        for organisation in self.organisations.values():
            total = told.get(organisation.name)
            if total is None and organisation.name not in self.states:
                continue
            state = self._state(organisation, now)
            if total is None:
                state.made_per_second = -1.0
                state.level = organisation.burst
            else:
                state.made_per_second = total.made_in_ten_seconds / 10
                state.level = total.level
