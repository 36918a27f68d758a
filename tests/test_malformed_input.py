"""A malformed message costs its sender an error, never the process."""

from typing import Any, Final

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from borageshelf import errors
from borageshelf.model import workflows
from borageshelf import node_settings
from borageshelf.platform import documents
from borageshelf.workflows import channel
from borageshelf.workflows import effects
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records
from tests import workflow_support as support

JOB: Final[dict[str, Any]] = {
    'Spec': 'text',
    'Phases': [
        {'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 900},
        {'Count': 1, 'Cpu': 500, 'MemMb': 1, 'After': [0], 'Fills': True},
    ],
    'RepeatCount': 1,
}
HEARTBEAT: Final[dict[str, Any]] = {
    'born': 1,
    'Service': 'pigment',
    'Address': '10.0.0.1:1',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 8,
    'ColdLeftMs': 0,
    'State': 'ready',
    'SeqNo': 1,
    'Capacity': {'Cpu': 64_000, 'MemMb': 256_000},
    'Labels': ['a', 'r1'],
}
VALUES: Final = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**80), 2**80),
    strategies.floats(),
    strategies.text(max_size=3),
    strategies.just([]),
    strategies.just({}),
)


def list_places(document: Any) -> list[tuple[Any, Any]]:
    """Return each container with each of its keys, at any depth."""
    if isinstance(document, dict):
        keys: list[Any] = list(document)
    elif isinstance(document, list):
        keys = list(range(len(document)))
    else:
        return []
    places = [(document, key) for key in keys]
    for key in keys:
        places += list_places(document[key])
    return places


@strategies.composite
def mutations(draw: strategies.DrawFn, valid: dict[str, Any]) -> bytes:
    """Return the text of a document with one to three wrong values."""
    document = msgspec.json.decode(msgspec.json.encode(valid))
    for _ in range(draw(strategies.integers(1, 3))):
        places = list_places(document)
        if not places:
            break
        container, key = draw(strategies.sampled_from(places))
        value = draw(VALUES)
        if value is None and isinstance(container, dict):
            del container[key]
        else:
            container[key] = value
    return (
        msgspec.json.encode(document)
        if draw(strategies.booleans())
        else msgspec.json.encode(document)[: draw(strategies.integers(0, 80))]
    )


def submit(body: bytes) -> support.Cluster:
    """Submit a document as an entry does, beside a valid workflow."""
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    try:
        workflow = documents.decode_workflow('b' * 16, body)
    except (msgspec.MsgspecError, ValueError):
        return cluster
    if not workflows.find_validation_error(workflow):
        cluster.submit(workflow, token=1)
    cluster.submit(support.make_workflow(), token=2)
    cluster.run_until_idle()
    assert cluster.replies[2].outcome is effects.Outcome.ACCEPTED
    return cluster


@hypothesis.given(mutations(JOB))
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_any_submission_leaves_the_owner_running(body: bytes) -> None:
    """Guards against a caller's document that ends the ownership."""
    submit(body)


@pytest.mark.parametrize(
    'field', ['Cpu', 'MemMb', 'EstimateMs', 'AntiAffinity', 'TargetMs']
)
def test_number_that_can_not_be_stored_is_refused(field: str) -> None:
    """Guards against a number that only the commit fails on.

    Encoding it raised in the owner's commit loop, which ended the ownership;
    the caller's retry then met the next owner.
    """
    phase = {**JOB['Phases'][0], field: 2**70}
    body = msgspec.json.encode({**JOB, 'Phases': [phase]})
    workflow = documents.decode_workflow('b' * 16, body)
    assert workflows.find_validation_error(workflow)


def test_workflow_that_can_not_be_encoded_is_refused() -> None:
    """Guards against a workflow that ends the ownership at its commit."""
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    cluster.submit(
        support.make_workflow(
            support.make_step(estimate_ms=2**70), workflow_id='b' * 16
        ),
        token=1,
    )
    cluster.submit(support.make_workflow(), token=2)
    cluster.run_until_idle()
    assert cluster.replies[1].outcome is effects.Outcome.INVALID
    assert cluster.replies[2].outcome is effects.Outcome.ACCEPTED
    assert not any(name.startswith('b') for name in cluster.list_running())


@hypothesis.given(mutations(HEARTBEAT))
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_any_heartbeat_is_read_or_ignored(body: bytes) -> None:
    """Guards against a heartbeat of another writer that ends the agent."""
    announcement = documents.decode_announcement('i-1', body, 1)
    if announcement is not None:
        assert announcement.capacity.processor_millicores >= 0


@hypothesis.given(mutations({'Version': 1, 'Routes': [{'Name': 'q'}]}))
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_any_configuration_is_read_or_refused(body: bytes) -> None:
    """Guards against a configuration that ends the loop that follows it."""
    try:
        documents.decode_configuration(body)
    except ValueError:
        return


@hypothesis.given(strategies.binary(max_size=60))
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    """Guards against bytes on a stream or in the store that end a process."""
    try:
        channel.Codec().decode(data, list)
    except channel.CONNECTION_ERRORS:
        pass
    for kind in (records.StateRecord, records.SpecRecord, records.HeadRecord):
        try:
            journal.decode(data, kind)
        except errors.BorageshelfError:
            pass
    try:
        node_settings.parse(data)
    except node_settings.SettingsError:
        pass


def test_cut_messages_are_refused() -> None:
    """Guards against a message that is cut or altered on its way."""
    codec = channel.Codec()
    row = messages.Row('task', 1, '', 50)
    valid = codec.encode([messages.Report(1, 2, (row,))], list)
    for position in range(len(valid)):
        for data in (valid[:position], valid[:position] + b'\xff'):
            with pytest.raises(channel.CONNECTION_ERRORS):
                codec.decode(data, list)
