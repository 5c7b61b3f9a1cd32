"""Describe the mesh, moves and settings as text for operators."""

from dataclasses import dataclass
from datetime import datetime

from msgspec import to_builtins

from poplarrack.configurations import load_configuration
from poplarrack.errors import PoplarrackError
from poplarrack.evidence import format_factor
from poplarrack.moves import planned_share
from poplarrack.snapshots import Snapshot
from poplarrack.summaries import ZoneSummary

SILENT_SECONDS = 30


@dataclass(frozen=True)
class Status:
    """The whole mesh: the zones' summaries and the settings."""

    zones: list[ZoneSummary]
    snapshot: Snapshot
    now: float

    @property
    def moves(self):
        """Return the moves by service, none while settings are bad."""
        try:
            return load_configuration(self.snapshot).moves
        except PoplarrackError:
            return {}

    def as_builtins(self):
        """Return the status as plain JSON values."""
        return {
            'revision': self.snapshot.revision,
            'zones': to_builtins(self.zones),
            'moves': to_builtins(self.moves),
        }


def describe_time(seconds):
    """Return a moment as local clock time."""
    return datetime.fromtimestamp(seconds).strftime('%H:%M:%S')


def describe_status(status):
    """Return the mesh at a glance."""
    lines = [f'configuration: revision {status.snapshot.revision}', '']
    heading = ('region', 'zone', 'nodes', 'in force', 'behind', 'state')
    rows = [heading, *(_zone_row(zone, status) for zone in status.zones)]
    lines += _columns(rows)
    for zone in status.zones:
        lines += _zone_notes(zone)
    lines.append('')
    moves = status.moves
    lines += [_move_line(move, status.now) for move in moves.values()]
    if not moves:
        lines.append('no moves')
    return '\n'.join(lines)


def _zone_row(zone, status):
    age = status.now - zone.written_at
    behind = max(0, zone.highest_revision - zone.lowest_revision)
    state = f'silent for {age:.0f} s' if age > SILENT_SECONDS else 'well'
    if zone.rejections:
        state = f'refused revision {zone.rejections[0].revision}'
    nodes = f'{zone.reported_nodes}/{zone.nodes}'
    return (
        zone.region,
        zone.zone,
        nodes,
        str(zone.lowest_revision),
        str(behind),
        state,
    )


def _zone_notes(zone):
    for lag in zone.lags:
        yield f'  {lag.node_id} is at revision {lag.revision}'
    for rejection in zone.rejections:
        for reason in rejection.reasons:
            yield f'  {zone.zone} refused {rejection.revision}: {reason}'


def _columns(rows):
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths))
        for row in rows
    ]


def _move_line(move, now):
    return (
        f'{move.service}: {move.from_version} -> {move.to_version} '
        f'{move.state.value} {move.share:.0%}, by '
        f'{describe_time(move.complete_by)}: {move.reason}'
    )


def describe_move(move, now):
    """Return a move on one page: state, plan, evidence and history."""
    share, until = planned_share(move, now)
    lines = [_move_line(move, now)]
    if not move.state.ended:
        lines.append(
            f'planned: {share:.0%} now, next step at {describe_time(until)}'
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
        moment, _, text = entry.partition(' ')
        lines.append(f'  {describe_time(float(moment))} {text}')
    return '\n'.join(lines)


def describe_history(path, items):
    """Return earlier values of a setting, a line each."""
    lines = [
        f'{item.mod_revision:>8}  {item.value.decode()}' for item in items
    ]
    return '\n'.join(lines) or f'{path}: no history is kept'
