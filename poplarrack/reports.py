"""Format the state of the mesh, moves and settings for operators."""

from dataclasses import dataclass
from datetime import datetime
from functools import cached_property

from msgspec import to_builtins

from poplarrack.configurations import Configuration
from poplarrack.configurations import load_configuration
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import format_factor
from poplarrack.moves import planned_share
from poplarrack.snapshots import Snapshot
from poplarrack.store_histories import describe_revision
from poplarrack.store_histories import history_of
from poplarrack.summaries import ZoneSummary

STALE_SUMMARY_SECONDS = 30


@dataclass(frozen=True)
class Status:
    """The state of the whole mesh: zone summaries and settings."""

    zones: list[ZoneSummary]
    snapshot: Snapshot
    now: float

    @cached_property
    def configuration(self):
        """Return the Configuration, an empty one if it is invalid."""
        try:
            return load_configuration(self.snapshot)
        except PoplarrackError:
            return Configuration()

    @property
    def moves(self):
        """Return the moves by service."""
        return self.configuration.moves

    @property
    def evacuations(self):
        """Return the evacuations by zone."""
        return self.configuration.evacuations

    def as_builtins(self):
        """Return the status as JSON values."""
        return {
            'revision': self.snapshot.revision,
            'zones': to_builtins(self.zones),
            'moves': to_builtins(self.moves),
            'evacuations': to_builtins(dict(self.evacuations)),
        }


def describe_time(seconds):
    """Format a time as local clock time.

    :param seconds: seconds since the epoch.
    """
    return datetime.fromtimestamp(seconds).strftime('%H:%M:%S')


def describe_status(status):
    """Format an overview of the mesh.

    :param status: a Status.
    """
    revision = describe_revision(status.snapshot.revision)
    lines = [f'configuration: revision {revision}', '']
    heading = ('region', 'zone', 'nodes', 'in force', 'behind', 'state')
    rows = [heading, *(_zone_row(zone, status) for zone in status.zones)]
    lines += _align_columns(rows)
    for zone in status.zones:
        lines += _zone_problem_lines(zone)
    for evacuation in status.evacuations.values():
        lines.append(_evacuation_line(evacuation))
    lines.append('')
    moves = status.moves
    lines += [_move_line(move, status.now) for move in moves.values()]
    if not moves:
        lines.append('no moves')
    return '\n'.join(lines)


def _zone_row(zone, status):
    age = status.now - zone.written_at
    behind = _describe_lag(zone)
    state = f'silent for {age:.0f} s' if age > STALE_SUMMARY_SECONDS else 'ok'
    if zone.rejections:
        state = f'rejected revision {zone.rejections[0].revision}'
    nodes = f'{zone.reported_nodes}/{zone.nodes}'
    return (
        zone.region,
        zone.zone,
        nodes,
        describe_revision(zone.lowest_revision),
        behind,
        state,
    )


def _describe_lag(zone):
    lowest, highest = zone.lowest_revision, zone.highest_revision
    if history_of(lowest) != history_of(highest):
        return 'history'
    return str(max(0, highest - lowest))


def _zone_problem_lines(zone):
    for lag in zone.lags:
        revision = describe_revision(lag.revision)
        yield f'  {lag.node_id} is at revision {revision}'
    for rejection in zone.rejections:
        for reason in rejection.reasons:
            yield (
                f'  {zone.zone} rejected revision {rejection.revision}: '
                f'{reason}'
            )


def _align_columns(rows):
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths))
        for row in rows
    ]


def _evacuation_line(evacuation):
    since = ''
    if evacuation.since:
        since = f' since {describe_time(evacuation.since)}'
    return f'  {evacuation.name} is evacuated{since}'


def _move_line(move, now):
    return (
        f'{move.service}: {move.from_version} -> {move.to_version} '
        f'{move.state.value} {move.share:.0%}, by '
        f'{describe_time(move.complete_by)}: {move.reason}'
    )


def describe_move(move, now):
    """Format a move with its state, schedule, evidence and history.

    :param move: a Move.
    :param now: seconds since the epoch.
    """
    share, next_step_at = planned_share(move, now)
    lines = [_move_line(move, now)]
    if not move.state.ended:
        lines.append(
            f'planned: {share:.0%} now, next step at '
            f'{describe_time(next_step_at)}'
        )
    for item in move.evidence:
        failures = format_factor(item.failure_factor)
        latency = format_factor(item.latency_factor)
        lines.append(
            f'  route {item.route}: old {item.old_failures}/{item.old_calls} '
            f'failed, new {item.new_failures}/{item.new_calls}; against the '
            f'new version: failures {failures}, latency {latency}'
        )
    lines.append('history:')
    for entry in move.log:
        written_at, _, text = entry.partition(' ')
        lines.append(f'  {describe_time(float(written_at))} {text}')
    return '\n'.join(lines)


def describe_history(path, items):
    """Format earlier values of a setting, one line for each.

    :param path: the setting's path.
    :param items: the values as stored, latest first.
    """
    lines = [
        f'{item.mod_revision:>8}  {item.value.decode()}' for item in items
    ]
    return '\n'.join(lines) or f'{path}: no history available'
