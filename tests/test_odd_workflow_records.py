"""An odd record of one workflow leaves the others as they are."""

import asyncio
from typing import Any, Final

import msgspec
import pytest

from borageshelf import clock
from borageshelf.model import workflows
from borageshelf.workflows import effects
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records
from standins import memory_store
from tests import odd_values
from tests import test_odd_owner_records as owner_support
from tests import workflow_support

SOUND_ID: Final = 'a' * 16
ODD_ID: Final = 'b' * 16
TERMS: Final = records.Terms('short', 'pigment', 0, 3, 2.0, 1_000, 1)


def encode_spec(workflow: workflows.Workflow) -> bytes:
    """Return the stored specification of a workflow."""
    return journal.encode(records.SpecRecord(workflow, TERMS))


def make_spec(
    workflow_id: str, step: workflows.Step | None = None, occurrences: int = 1
) -> bytes:
    """Return the stored specification of a workflow of one step."""
    return encode_spec(
        workflows.Workflow(
            workflow_id,
            'spec',
            (step or workflow_support.make_step(),),
            occurrences,
        )
    )


def replace_task_fields(**changes: Any) -> bytes:
    """Return a stored state with odd fields of its task."""
    fields = {
        'number': 0,
        'is_done': False,
        'attempts': 1,
        'failures': 0,
        'checkpoint': '',
        'runs': [[1, 'vm-0', 0]],
        'crashes': None,
    }
    task = list({**fields, **changes}.values())
    return msgspec.msgpack.encode([0, 0, '', [task]])


SPEC_KEY: Final = records.make_spec_key(ODD_ID)
STATE_KEY: Final = records.make_state_key(ODD_ID)
VALID_STATE: Final = journal.encode(records.StateRecord())
SOUND_SPEC: Final = make_spec(SOUND_ID)
# Key and value of each odd record.
ODD_RECORDS: Final = (
    *(
        (key, value)
        for key in (SPEC_KEY, STATE_KEY)
        for value in (
            b'',
            b'\xc1',
            odd_values.nest_msgpack(5_000),
            odd_values.nest_msgpack(100_000),
            msgspec.msgpack.encode([2**63]),
            msgspec.msgpack.encode({'a': 1}),
        )
    ),
    (SPEC_KEY, make_spec(ODD_ID, occurrences=2**40)),
    (SPEC_KEY, make_spec(ODD_ID, occurrences=-1)),
    (SPEC_KEY, make_spec(ODD_ID, workflow_support.make_step(count=2**40))),
    (SPEC_KEY, make_spec(ODD_ID, workflow_support.make_step(count=-3))),
    (SPEC_KEY, make_spec(ODD_ID, workflow_support.make_step(after=(7,)))),
    # The specification of another workflow below the wrong key.
    (SPEC_KEY, make_spec(SOUND_ID, workflow_support.make_step(count=9))),
    (STATE_KEY, replace_task_fields(number=-1)),
    (STATE_KEY, replace_task_fields(number=2**53)),
    (STATE_KEY, replace_task_fields(number=2**63)),
    (STATE_KEY, replace_task_fields(attempts=2**64 - 1)),
    (STATE_KEY, replace_task_fields(failures=-1)),
    (STATE_KEY, replace_task_fields(runs=[[2**64 - 1, 'vm-0', 0]])),
    (STATE_KEY, replace_task_fields(runs=[[1, 'vm-0', -1]])),
    (STATE_KEY, replace_task_fields(crashes=[0, 0, float('nan'), False])),
    (STATE_KEY, replace_task_fields(crashes=[0, 0, float('inf'), False])),
)
# Keys that hold neither a specification nor a state.
FOREIGN_KEYS: Final = (
    records.JOBS_PREFIX + 'odd',
    records.JOBS_PREFIX + '/state',
    f'{records.JOBS_PREFIX}{SOUND_ID}',
    f'{records.JOBS_PREFIX}{SOUND_ID}/odd',
    f'{records.JOBS_PREFIX}{SOUND_ID}/odd/state',
    f'{records.JOBS_PREFIX}{SOUND_ID}/odd/spec',
    records.CANCELLATIONS_PREFIX + 'odd',
)


async def load_beside(entries: dict[str, bytes]) -> tuple[Any, Any]:
    """Return an owner that loaded a sound workflow beside other entries.

    :return: the owner, and its answer about the odd workflow
    """
    store = memory_store.MemoryStore()
    await store.put(records.make_spec_key(SOUND_ID), SOUND_SPEC, 0)
    await store.put(records.make_state_key(SOUND_ID), VALID_STATE, 0)
    for key, value in entries.items():
        await store.put(key, value, 0)
    candidate: Any = owner_support.make_election(store)
    candidate.start()
    await owner_support.wait_for_ownership(store, candidate)
    owner: Any = candidate.local_owner
    # Scheduling and commits must not end the ownership either.
    await asyncio.sleep(0.1)
    assert candidate.local_owner is owner
    # That a workflow is absent is answered after a commit.
    answer = await owner.answer(
        messages.FindRequest(0, ODD_ID), clock.read_elapsed_ms() + 5_000
    )
    await candidate.stop()
    return owner, answer


def check_sound_workflow(owner: Any) -> None:
    """Check that the sound workflow is as it was stored."""
    core = owner._core
    assert SOUND_ID not in core.set_aside_ids
    job = core.jobs[SOUND_ID]
    assert job.is_active
    assert encode_spec(job.workflow) == SOUND_SPEC


@pytest.mark.parametrize(('key', 'value'), ODD_RECORDS)
def test_odd_record_sets_one_workflow_aside(key: str, value: bytes) -> None:
    """Guards against a record that ends each owner in turn."""

    async def check() -> None:
        entries = {SPEC_KEY: make_spec(ODD_ID), STATE_KEY: VALID_STATE}
        owner, answer = await load_beside({**entries, key: value})
        check_sound_workflow(owner)
        assert owner._core.set_aside_ids == {ODD_ID}
        assert answer.outcome is effects.Outcome.UNKNOWN

    asyncio.run(check())


@pytest.mark.parametrize('key', FOREIGN_KEYS)
@pytest.mark.parametrize(
    'value', [b'odd', odd_values.nest_msgpack(5_000), VALID_STATE, SOUND_SPEC]
)
def test_foreign_key_sets_no_workflow_aside(key: str, value: bytes) -> None:
    """Guards against a key of another writer that stops a workflow."""

    async def check() -> None:
        owner, answer = await load_beside({key: value})
        check_sound_workflow(owner)
        assert not owner._core.set_aside_ids
        assert answer.outcome is effects.Outcome.ABSENT

    asyncio.run(check())
