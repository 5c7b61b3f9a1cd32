"""Implement the commands of ``poplarrack-ctl move``."""

from dataclasses import replace
import time

from fire.decorators import SetParseFn

from poplarrack.configurations import load_configuration
from poplarrack.editors import Edit
from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.move_policies import POLICIES
from poplarrack.move_records import build_move
from poplarrack.moves import is_live
from poplarrack.moves import planned_share
from poplarrack.operator_sessions import read_time_argument
from poplarrack.reports import describe_move
from poplarrack.resources import encode_resource


class MoveCommands:
    """Start, show, hold and withdraw moves to another version."""

    def __init__(self, session):
        self._session = session

    @SetParseFn(str, 'service', 'to', 'by', 'within', 'policy')
    def start(self, service, to, by='', within='', policy='balanced'):
        """Start a move of a service to another version.

        The move is to be completed BY a clock time such as 23:30 or an ISO
        date and time, or WITHIN a time span such as 20m. POLICY weighs a safe
        rollback against the deadline.
        """
        session = self._session
        now = time.time()
        if policy not in POLICIES:
            raise PoplarrackError(
                ErrorKind.USAGE, 'policy must be one of ' + ', '.join(POLICIES)
            )
        complete_by = read_time_argument(by, within, now)
        if complete_by <= now:
            raise PoplarrackError(ErrorKind.USAGE, 'the time given has passed')
        configuration = load_configuration(session.editor.read().snapshot)
        service_record = configuration.services.get(service)
        if service_record is None:
            raise PoplarrackError(ErrorKind.NOT_FOUND, f'service {service}')
        previous = configuration.moves.get(service)
        if previous and is_live(previous, now) and not previous.state.ended:
            raise PoplarrackError(
                ErrorKind.CONFLICT, f'{service}: a move is under way'
            )
        move = build_move(
            service, service_record.version, to, complete_by, policy, now
        )
        path = f'{session.settings.team}/moves/{service}'
        revision = session.editor.write(Edit({path: encode_resource(move)}))
        session.print_result(
            {'path': path, 'revision': revision, 'move_id': move.move_id},
            f'{service}: move to {to} started, revision {revision}',
        )

    def status(self, service):
        """Show a move's state, share, schedule, evidence and history."""
        _, move = self._session.editor.read_move(service)
        share, next_step_at = planned_share(move, time.time())
        value = {
            'service': service,
            'state': move.state.value,
            'share': move.share,
            'planned_share': share,
            'next_step_at': next_step_at,
            'complete_by': move.complete_by,
            'reason': move.reason,
            'log': list(move.log),
            'evidence': [vars(item) for item in move.evidence],
        }
        self._session.print_result(value, describe_move(move, time.time()))

    def hold(self, service):
        """Hold a move at its present share."""
        self._set_hold(service, True)

    def resume(self, service):
        """Resume a move that is held."""
        self._set_hold(service, False)

    def _set_hold(self, service, hold):
        def change(move):
            if move.state.ended:
                raise PoplarrackError(
                    ErrorKind.CONFLICT, f'{service}: {move.state.value}'
                )
            return replace(move, hold_requested=hold)

        revision = self._session.editor.change_move(service, change)
        state = 'held' if hold else 'resumed'
        self._session.print_result(
            {'revision': revision, 'hold': hold}, f'{service}: {state}'
        )

    def withdraw(self, service):
        """Withdraw a move: send all calls to the old version at once."""
        session = self._session
        revision = session.editor.withdraw_move(
            service, session.operator, time.time()
        )
        self._session.print_result(
            {'revision': revision, 'state': 'withdrawn'},
            f'{service}: withdrawn, revision {revision}',
        )
