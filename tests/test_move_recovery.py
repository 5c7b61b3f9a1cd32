"""Test what moves do after nodes lost their memory or calls stopped.

The counts and the verdicts on a move are kept in the memory of nodes, its
share in the store. A completed move of these policies can't be undone.
"""

import asyncio

from poplarrack.resources import MoveState
from tests.move_meshes import on_moving_mesh
from tests.move_meshes import Regression
from tests.support import build_load_tests

load_tests = build_load_tests(__name__)

POWER_OFF_SECONDS = 2.0
# From the start of all nodes to the end of a move that they can't judge.
SETTLE_SECONDS = 4.0


# EXPOSURE: after a start of all nodes the worker completed a version that
# had failed at the whole share before; nothing in its memory said so.
@on_moving_mesh(Regression(above_share=1.0))
async def test_a_power_loss_at_the_whole_share_does_not_complete_the_move(
    moving,
):
    await moving.wait_for_share(1.0)
    await asyncio.sleep(0.4)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(SETTLE_SECONDS)
    assert record.state is MoveState.WITHDRAWN, record.log


# EXPOSURE: the nodes had recorded few calls before the power loss and counted
# as many again at once; and 20 calls at the whole share, where there is only
# the past to compare with, did not show that half of them fail.
@on_moving_mesh(Regression(above_share=1.0), window=16.0)
async def test_a_short_move_is_not_completed_on_few_calls_at_the_whole_share(
    moving,
):
    await asyncio.sleep(0.75 * moving.window)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(2 * moving.window)
    assert record.state is MoveState.WITHDRAWN, record.log


# EXPOSURE: a version failed at 50% for less time than evidence takes to be
# recorded, behaved for a while after its servers had restarted, and was tried
# again because of that.
@on_moving_mesh(window=16.0, calls_per_second=700.0)
async def test_a_version_that_may_have_failed_unrecorded_is_not_tried_again(
    moving,
):
    await moving.wait_for_share(0.5)
    await asyncio.sleep(0.3)
    moving.turn_bad()
    await asyncio.sleep(0.3)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(SETTLE_SECONDS)
    assert record.state is MoveState.WITHDRAWN, record.log


# EXPOSURE: nodes that had run for a quarter of the move's time since they all
# lost their memory were taken to hold its evidence.
@on_moving_mesh(window=16.0)
async def test_evidence_stays_lost_while_nodes_wait_for_the_store(moving):
    await moving.wait_for_share(1.0)
    moving.turn_bad()
    await asyncio.sleep(0.3)
    await moving.lose_power(POWER_OFF_SECONDS, store_away_seconds=8.0)
    record = await moving.wait_for_end(SETTLE_SECONDS)
    assert record.state is MoveState.WITHDRAWN, record.log


# EXPOSURE: failures of the new version reached the worker only after it had
# completed the move, without any restart or gap.
@on_moving_mesh(window=16.0)
async def test_a_version_that_turns_bad_before_the_end_is_not_completed(
    moving,
):
    await moving.wait_for_share(1.0)
    await asyncio.sleep(0.3)
    moving.turn_bad()
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.WITHDRAWN, record.log


# EXPOSURE: evidence on servers that have restarted says nothing about how
# the new ones behave once they have run for a while.
@on_moving_mesh(Regression(above_share=0.0, after_seconds=32.0))
async def test_servers_that_restarted_are_watched_as_long_as_before(moving):
    await moving.wait_for_share(0.04)
    await asyncio.sleep(20.0)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(2 * moving.window)
    assert record.state is MoveState.WITHDRAWN, record.log
    failed = sum(failed for _, failed in moving.calls_to_new)
    assert failed < 50, failed


# A move that waits for evidence after a power loss must not wait for ever.
@on_moving_mesh()
async def test_a_good_version_is_completed_in_time_after_a_power_loss(moving):
    await moving.wait_for_share(0.04)
    await asyncio.sleep(10.0)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert record.ended_at <= moving.deadline, record.log


# At 2 and 4% of few calls, each step waited for 20 calls of its own share.
@on_moving_mesh(window=16.0)
async def test_a_short_move_is_completed_in_time_after_an_early_power_loss(
    moving,
):
    await asyncio.sleep(0.2 * moving.window)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert record.ended_at <= moving.deadline, record.log


# One that lost power too late for its deadline is still completed.
@on_moving_mesh()
async def test_a_good_version_is_completed_after_a_late_power_loss(moving):
    await moving.wait_for_share(0.2)
    await moving.lose_power(POWER_OFF_SECONDS)
    record = await moving.wait_for_end(2 * moving.window)
    assert record.state is MoveState.COMPLETED, record.log


# EXPOSURE: the schedule went on while no calls arrived, and completed a
# version that nobody had called at its last shares.
@on_moving_mesh(Regression(above_share=0.0, after_seconds=45.0))
async def test_no_step_is_taken_while_no_calls_arrive(moving):
    await moving.wait_for_share(0.08)
    moving.calls_arrive = False
    await asyncio.sleep(0.5 * moving.window)
    assert moving.record.share <= 0.2, moving.record.log
    moving.calls_arrive = True
    record = await moving.wait_for_end(0.5 * moving.window)
    assert record.state is MoveState.WITHDRAWN, record.log


# EXPOSURE: after the gap a late move took a step each half second on calls
# of earlier shares, faster than evidence reached the worker.
@on_moving_mesh(Regression(above_share=0.5))
async def test_a_late_move_sees_calls_at_each_share_before_the_next(moving):
    await moving.wait_for_share(0.08)
    moving.calls_arrive = False
    await asyncio.sleep(0.5 * moving.window)
    moving.calls_arrive = True
    record = await moving.wait_for_end(0.5 * moving.window)
    assert record.state is MoveState.WITHDRAWN, record.log


# Waiting for calls must not cost a good version its deadline.
@on_moving_mesh()
async def test_a_good_version_is_completed_in_time_after_a_gap(moving):
    await moving.wait_for_share(0.04)
    await asyncio.sleep(5.0)
    moving.calls_arrive = False
    await asyncio.sleep(0.4 * moving.window)
    moving.calls_arrive = True
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert record.ended_at <= moving.deadline, record.log


# The worker alone has lost its memory; the other nodes still have theirs.
@on_moving_mesh()
async def test_a_restart_of_the_worker_alone_does_not_delay_a_move(moving):
    for share in (0.04, 0.2, 1.0):
        await moving.wait_for_share(share)
        await moving.restart_nodes([moving.worker])
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert record.ended_at <= moving.deadline, record.log
    assert moving.shares == sorted(moving.shares), record.log


# Nodes of one zone, the worker among them, find each other first and all lost
# their memory; the other zones still hold the evidence.
@on_moving_mesh()
async def test_a_restart_of_the_workers_zone_does_not_delay_a_move(moving):
    zone = moving.localities[moving.worker]
    names = [name for name, held in moving.localities.items() if held == zone]
    await moving.wait_for_share(0.2)
    await moving.restart_nodes(names)
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert record.ended_at <= moving.deadline, record.log
    assert moving.shares == sorted(moving.shares), record.log


# The nodes of a small mesh restarted in turn within 10 s, taken for a joint
# restart, although between them they still held enough evidence.
@on_moving_mesh(window=16.0)
async def test_nodes_that_restart_quickly_in_turn_do_not_delay_a_move(moving):
    await moving.wait_for_share(0.04)
    for name in list(moving.localities):
        await moving.restart_nodes([name], 0.3)
        await asyncio.sleep(0.2)
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert moving.shares == sorted(moving.shares), record.log
    assert record.complete_by == moving.deadline, record.log


# An upgrade restarts all nodes during one share, but never loses the evidence
# of all of them at once.
@on_moving_mesh()
async def test_nodes_that_restart_in_turn_do_not_delay_a_move(moving):
    await moving.wait_for_share(0.04)
    for name in list(moving.localities):
        await moving.restart_nodes([name])
        await asyncio.sleep(0.8)
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.COMPLETED, record.log
    assert record.ended_at <= moving.deadline, record.log
    assert moving.shares == sorted(moving.shares), record.log


# EXPOSURE: at the whole share no calls go to the old version. When all nodes
# had restarted in turn, its earlier calls were forgotten, and any new version
# was completed without a comparison.
@on_moving_mesh(window=200.0)
async def test_nodes_that_restart_in_turn_compare_with_recorded_calls(moving):
    await moving.wait_for_share(1.0)
    for name in list(moving.localities):
        await moving.restart_nodes([name], 0.6)
        await asyncio.sleep(0.8)
    moving.turn_bad()
    record = await moving.wait_for_end(moving.window)
    assert record.state is MoveState.WITHDRAWN, record.log
