"""Faults of the shard owner that appear without a simulated cluster."""

import dataclasses
import random

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.shards import codec
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import records
from borageshelf.shards import requests
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner
from borageshelf.shards import transitions

POLICY = grants.GrantPolicy()
ASSIGNMENT = records.Assignment('t1', 'vm1', 'agent1', 'dc', 'rack', 1)
AGENT = shard_owner.AgentIdentity('t1', 'vm1', 'agent1')
TASK = records.TaskRecord(
    'job/0', 'job', 'family', 'team', resources.Resources(1000, 100), 0
)
ASSIGNED = dataclasses.replace(
    TASK, phase=records.TaskPhase.ASSIGNED, assignment=ASSIGNMENT
)


def make_owner(
    *tasks: records.TaskRecord, claims: tuple[records.ClaimRecord, ...] = ()
) -> shard_owner.ShardOwner:
    state = shard_log.ShardState(
        1,
        records.Horizons(),
        {task.task_id: task for task in tasks},
        {claim.claim_id: claim for claim in claims},
    )
    horizons = POLICY.extend(records.Horizons(), 0)
    return shard_owner.ShardOwner(0, state, horizons, POLICY)


def commit(owner: shard_owner.ShardOwner, now_ms: int) -> list[effects.Effect]:
    batch = owner.take_batch(now_ms)
    assert batch is not None
    return list(owner.confirm_batch(batch, now_ms))


def make_claim(
    claim_id: str, call_id: str, expires_deadline_ms: int
) -> records.ClaimRecord:
    outcome = records.ClaimOutcome.CLAIMED
    return records.ClaimRecord(claim_id, call_id, outcome, expires_deadline_ms)


def test_new_claim_survives_the_expiry_of_the_old_one() -> None:
    """Guards against a key that two calls claim one after the other.

    A new call claims the key while the removal of the expired claim is
    uncommitted, and the next tick must not remove the new claim.
    """
    owner = make_owner(claims=(make_claim('key', 'old', 5),))
    owner.tick(10)
    owner.claim(make_claim('key', 'new', 100), 1)
    owner.tick(11)
    (reply,) = commit(owner, 11)
    assert isinstance(reply, effects.Reply)
    assert reply.code is errors.OK
    owner.claim(make_claim('key', 'third', 100), 2)
    (reply,) = commit(owner, 12)
    assert isinstance(reply, effects.Reply)
    assert (reply.code, reply.detail) == (errors.DUPLICATE_KEY, 'new')


def test_claim_with_the_id_of_a_task() -> None:
    """Guards against the removal of a claim that also removes a task.

    Callers choose the ids of both, so they may be equal.
    """
    owner = make_owner(TASK, claims=(make_claim('job/0', 'call', 9),))
    owner.settle('job/0', 'call', records.ClaimOutcome.NOT_RUN, 1)
    commit(owner, 1)
    assert owner.find_committed_job('job') == (TASK,)


def test_task_that_ran_is_not_reported_as_not_run() -> None:
    """Guards against "not run" for a task that ran on a lost VM.

    No remaining VM is large enough for the task, so the owner rejects it.
    """
    owner = make_owner(dataclasses.replace(TASK, may_have_run=True))
    owner.reject('job/0', 1)
    commit(owner, 1)
    (task,) = owner.find_committed_job('job')
    category = errors.find(task.code).category
    assert category is not errors.Category.NOT_RUN


def test_start_without_a_grant_never_started() -> None:
    """Guards against an unknown outcome for a start that was never sent.

    The horizons pass while the assignment is being committed, so the attempt
    gets no grant and its start is not sent.
    """
    task = dataclasses.replace(TASK, idempotent=False)
    owner = make_owner(task)
    owner.assign('job/0', ASSIGNMENT, 0)
    batch = owner.take_batch(0)
    assert batch is not None
    late_ms = POLICY.batch_horizon_ms + 1
    assert owner.confirm_batch(batch, late_ms) == ()
    owner.tick(late_ms + POLICY.clock_skew_bound_ms + 1)
    commit(owner, late_ms)
    (found,) = owner.find_committed_job('job')
    assert found.phase is records.TaskPhase.QUEUED
    assert not found.may_have_run


def test_lost_shard_answers_all_requests() -> None:
    """Guards against unanswered callers and a false "not run".

    The batch in flight may be stored even though the shard is lost.
    """
    owner = make_owner()
    owner.submit((TASK,), 1)
    batch = owner.take_batch(0)
    owner.submit((dataclasses.replace(TASK, task_id='b/0', job_id='b'),), 2)
    replies = owner.handle_ownership_loss(batch)
    assert [reply.token for reply in replies] == [1, 2]
    assert {reply.code for reply in replies} == {errors.OUTCOME_UNKNOWN}


def test_aborted_batch_rejects_new_jobs_and_cancellations() -> None:
    """Guards against an accepted cancellation of a job that is not stored.

    The job is cancelled while its submission is being committed, and the
    commit fails.
    """
    owner = make_owner()
    owner.submit((TASK,), 1)
    batch = owner.take_batch(0)
    assert batch is not None
    owner.cancel('job', 2, 0)
    replies = owner.abort_batch(batch)
    codes = {effect.token: effect.code for effect in replies}  # type: ignore
    unavailable = errors.STORE_UNAVAILABLE
    assert codes == {1: unavailable, 2: unavailable}
    assert owner.find_job('job') == ()


def test_job_that_was_cancelled_before_it_arrived_never_runs() -> None:
    """Guards against a job that runs after its cancelling said "not run".

    An entry that was cut off submits it late, also to the next owner.
    """
    owner = make_owner()
    owner.cancel('job', 1, 0)
    assert not owner.take_immediate_effects()
    batch = owner.take_batch(0)
    assert batch is not None
    codes = [
        effect.code
        for effect in owner.confirm_batch(batch, 0)
        if isinstance(effect, effects.Reply)
    ]
    assert codes == [errors.UNKNOWN_JOB]
    (claim,) = batch.changes.claims
    for later in (owner, make_owner(claims=(claim,))):
        later.submit((TASK,), 2)
        assert later.take_immediate_effects() == (
            effects.Reply(2, errors.CANCELLED, 'cancelled before it arrived'),
        )
        later.tick(claim.expires_deadline_ms + 1)
        later.submit((TASK,), 3)
        assert not later.take_immediate_effects()


def test_cancellations_of_unknown_jobs_are_bounded() -> None:
    """Guards against a shard that callers fill with ids that do not exist."""
    owner = make_owner()
    for number in range(requests.CANCELLATIONS_LIMIT):
        owner.cancel(f'{number}', number, 0)
    commit(owner, 0)
    for job_id, code in (
        ('other', errors.OVERLOADED),
        ('x' * 1_000, errors.UNKNOWN_JOB),
    ):
        owner.cancel(job_id, 1, 0)
        (reply,) = owner.take_immediate_effects()
        assert isinstance(reply, effects.Reply)
        assert reply.code is code


def test_aborted_batch_keeps_a_completion() -> None:
    """Guards against the loss of a result in a store outage.

    The commit of the completed task fails and is repeated.
    """
    owner = make_owner(ASSIGNED)
    owner.handle_event(AGENT, 'job/0', transitions.Succeeded(1, b'r'), 1)
    batch = owner.take_batch(1)
    assert batch is not None
    assert owner.abort_batch(batch) == ()
    (release,) = commit(owner, 2)
    assert isinstance(release, effects.SendRelease)
    (task,) = owner.find_committed_job('job')
    assert task.result == b'r'


def test_failures_on_a_faulty_target_are_excused() -> None:
    """Guards against a job that ends because of a worker that fails all jobs.

    Earlier failures on the faulty target are excused, and a new failure there
    does not count.
    """
    failures = (records.Failure('t1', 304), records.Failure('t2', 304))
    owner = make_owner(dataclasses.replace(ASSIGNED, failures=failures))
    owner.excuse_failures('t2', 1)
    failed = transitions.Failed(1, 304, is_target_faulty=True)
    owner.handle_event(AGENT, 'job/0', failed, 1)
    commit(owner, 1)
    (task,) = owner.find_committed_job('job')
    assert task.failures == failures[:1]
    assert task.phase is records.TaskPhase.QUEUED


def test_shard_stays_within_a_store_value() -> None:
    """Guards against a snapshot that is larger than a store value.

    The arguments are incompressible, and each is within the limit of the API.
    """
    rng = random.Random(1)
    owner = make_owner()
    codes = []
    for token in range(100):
        job_id = f'j{token}'
        task = dataclasses.replace(
            TASK,
            task_id=f'{job_id}/0',
            job_id=job_id,
            arguments=rng.randbytes(16_384),
        )
        owner.submit((task,), token)
        batch = owner.take_batch(0)
        if batch is None:
            (reply,) = owner.take_immediate_effects()
            assert isinstance(reply, effects.Reply)
            codes.append(reply.code)
            continue
        snapshot = codec.encode_snapshot(owner.make_snapshot())
        assert len(snapshot) < 1_000_000
        owner.confirm_batch(batch, 0)
    assert set(codes) == {errors.OVERLOADED}
    assert len(codes) > 50


def test_renewal_needs_no_commit() -> None:
    """Guards against a pass over all tasks after each report.

    A report that only renews grants must not cause a commit. With 5,900 tasks
    such passes took most of an entry's processor time.
    """
    owner = make_owner(ASSIGNED)
    owner.handle_report(
        AGENT, (shard_owner.AttemptReport('job/0', 1, None),), 10
    )
    assert owner.take_immediate_effects()
    assert not owner.has_changes
