"""Odd documents of other writers cost an error that callers handle.

A decoder that raises anything else ends the loop or the request that calls it.
"""

import asyncio
from collections import abc
import dataclasses
import random
from typing import Any, Final
import zlib

import msgspec
import pytest

from borageshelf.configuration import contents
from borageshelf import decoding
from borageshelf.entry import callers
from borageshelf.entry import membership
from borageshelf.entry import peers
from borageshelf import errors
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf import node_settings
from borageshelf.platform import documents
from borageshelf.platform import executor
from borageshelf.platform import store as platform_store
from borageshelf.ports import http_client
from borageshelf.ports import http_executor
from borageshelf.ports import http_store
from borageshelf.ports import http_worker
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from borageshelf.protocol import inner_pb2
from borageshelf.shards import codec
from borageshelf.shards import records as shard_records
from borageshelf.workflows import channel
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records
from tests import odd_values
from tests import platform_support
from tests import workflow_support

SEEDS: Final = range(5)
DRAWS_PER_SEED: Final = 60
STORE_ERRORS: Final = (errors.BorageshelfError,)
EXECUTOR_ERRORS: Final = (
    task_executor.ExecutorUnavailable,
    task_executor.OrderRefused,
)


@dataclasses.dataclass(frozen=True)
class Decoder:
    """A decoder of one kind of document.

    :param valid: a valid document
    :param decode: returns what it decoded
    :param documented: the errors that its callers handle
    """

    valid: bytes
    decode: abc.Callable[[bytes], Any]
    documented: tuple[type[Exception], ...]


class AnswerClient:
    """HTTP client that always receives the same answer."""

    def __init__(self, body: bytes, status: int) -> None:
        self._answer = http_client.Answer(status, body)

    async def get(self, *arguments: Any) -> http_client.Answer:
        """Return the answer."""
        return self._answer

    post = get
    send = get


def decode_answer(
    adapter_type: Any,
    call: abc.Callable[[Any], abc.Awaitable[Any]],
    status: int = 200,
) -> abc.Callable[[bytes], Any]:
    """Return a function that passes an answer to an adapter."""

    def decode(body: bytes) -> Any:
        adapter: Any = adapter_type.__new__(adapter_type)
        adapter._client = AnswerClient(body, status)
        adapter._timeout_ms = 100

        async def run() -> Any:
            return await call(adapter)

        return asyncio.run(run())

    return decode


def decode_workflow(body: bytes) -> workflows.Workflow | None:
    """Return the workflow that an entry would submit."""
    workflow = documents.decode_workflow('b' * 16, body)
    return None if workflows.find_validation_error(workflow) else workflow


def decode_member(body: bytes) -> membership.Member | None:
    """Return the member in a value of the store."""
    return membership._decode(
        store_interface.Entry('entries/entry-1', body, 1)
    )


def decode_job(body: bytes) -> Any:
    """Return the job in an answer of another entry."""
    return peers._decode_job(inner_pb2.JobAnswer(document=body))


def encode_json(document: object) -> bytes:
    """Return the JSON text of a document."""
    return msgspec.json.encode(document)


ITEM: Final = {'Key': 'k', 'Revision': 3, 'Value': 'eA==', 'Lease': 4}
HEARTBEAT: Final = encode_json(
    {
        'Service': 'pigment',
        'Address': '10.0.0.1:1',
        'Zone': 'z',
        'Version': 'v1',
        'Slots': 8,
        'ColdLeftMs': 0,
        'State': 'draining',
        'SeqNo': 1,
        'Capacity': {'Cpu': 64_000, 'MemMb': 256_000, 'Gpu': 0},
        'Labels': ['a', 'r1'],
        'RemainingMs': 5,
        'ClockMs': 17,
        'born': 1,
    }
)
WORKFLOW: Final = encode_json(
    {
        'Spec': 'text',
        'Phases': [
            {'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 900},
            {'Count': 1, 'Cpu': 5, 'MemMb': 1, 'After': [0], 'TargetMs': 3},
        ],
        'RepeatCount': 2,
        'StartAtMs': 5,
        'PeriodMs': 10,
    }
)
INSPECTION: Final = encode_json(
    {
        'ClockMs': 9,
        'born': 1,
        'Running': [['t', 1, '', 50, 7]],
        'EndedRuns': [[1, 't', 1, 'done', None]],
    }
)
JSON_DECODERS: Final[dict[str, Decoder]] = {
    'announcement': Decoder(
        HEARTBEAT,
        lambda body: documents.decode_announcement('i-1', body, 1),
        (),
    ),
    'configuration': Decoder(
        encode_json(platform_support.CONFIGURATION),
        documents.decode_configuration,
        (decoding.Unreadable,),
    ),
    'workflow': Decoder(WORKFLOW, decode_workflow, (decoding.Unreadable,)),
    'inspection': Decoder(
        INSPECTION,
        decode_answer(
            executor.PlatformExecutor,
            lambda adapter: adapter.inspect('i', 1, 0, 0, 0),
        ),
        EXECUTOR_ERRORS,
    ),
    'refused start': Decoder(
        b'{"ClockMs":1,"Reason":"fence"}',
        decode_answer(
            executor.PlatformExecutor,
            lambda adapter: adapter.stop('i', 't', 1, 1),
            409,
        ),
        EXECUTOR_ERRORS,
    ),
    'item of the platform': Decoder(
        encode_json({**ITEM, 'AtRev': 9}),
        decode_answer(
            platform_store.PlatformStore, lambda adapter: adapter.get('k')
        ),
        STORE_ERRORS,
    ),
    'page of the platform': Decoder(
        encode_json({'items': [ITEM, ITEM], 'AtRev': 9, 'HasMore': False}),
        decode_answer(
            platform_store.PlatformStore, lambda adapter: adapter.scan('k')
        ),
        STORE_ERRORS,
    ),
    'events of the platform': Decoder(
        encode_json({'events': [ITEM, ITEM], 'AtRev': 9}),
        decode_answer(
            platform_store.PlatformStore,
            lambda adapter: adapter.watch('k', 1, 0),
        ),
        STORE_ERRORS,
    ),
    'commit of the platform': Decoder(
        b'{"Revision":7}',
        decode_answer(
            platform_store.PlatformStore,
            lambda adapter: adapter.put('k', b'', 0),
        ),
        STORE_ERRORS,
    ),
    'lease of the platform': Decoder(
        b'{"Lease":7,"TtlMs":2000}',
        decode_answer(
            platform_store.PlatformStore,
            lambda adapter: adapter.grant_lease(2_000),
        ),
        STORE_ERRORS,
    ),
    'settings': Decoder(
        encode_json(
            {
                'node_id': 'entry-1',
                'data_centre': 'north',
                'host': '127.0.0.1',
                'store_address': '127.0.0.1:1',
                'seeds': ['127.0.0.1:2'],
                'metrics_port': 9464,
            }
        ),
        node_settings.parse,
        (node_settings.SettingsError,),
    ),
    'root of the configuration': Decoder(
        encode_json(contents.Root(3, 'hash', 'id')),
        lambda body: contents.decode_value(body, contents.Root),
        STORE_ERRORS,
    ),
    'member': Decoder(
        encode_json(
            membership.Member(
                'entry-1', 'boot', '127.0.0.1:1', 'north', {3: 4}
            )
        ),
        decode_member,
        (),
    ),
    'job of another entry': Decoder(
        b'{"job_id":"a","code":0,"code_name":"OK"}', decode_job, STORE_ERRORS
    ),
    'entry of the store': Decoder(
        encode_json({'entry': {'key': 'k', 'value': 'eA==', 'revision': 1}}),
        decode_answer(http_store.HttpStore, lambda adapter: adapter.get('k')),
        STORE_ERRORS,
    ),
    'error of the store': Decoder(
        b'{"code":300,"detail":"x"}',
        decode_answer(
            http_store.HttpStore, lambda adapter: adapter.list('k'), 503
        ),
        STORE_ERRORS,
    ),
    'description of a worker': Decoder(
        encode_json(
            {
                'boot_id': 'b',
                'capacity': dataclasses.asdict(resources.NOTHING),
                'rack': 'r',
            }
        ),
        decode_answer(
            http_worker.HttpWorker, lambda adapter: adapter.describe()
        ),
        STORE_ERRORS,
    ),
    'description of an executor': Decoder(
        b'{"service":"s","slots":1,"connections":1}',
        decode_answer(
            http_executor.HttpExecutor, lambda adapter: adapter.describe()
        ),
        STORE_ERRORS,
    ),
}
STATE: Final = records.StateRecord(
    tasks=(
        records.TaskRecord(
            0,
            attempts=2,
            runs=(records.RunRecord(2, 'vm-0', 5),),
            crashes=records.CrashRecord(1, 0, 0.5),
        ),
    )
)
SPEC: Final = records.SpecRecord(
    workflow_support.make_workflow(),
    records.Terms('short', 'pigment', 0, 3, 2.0, 1_000, 1),
)
BATCH: Final = [
    messages.Report(
        1, 2, (messages.Row('t', 1, '', 50),), filler_shares={'i': 0.5}
    ),
    messages.Redirect(
        'e', 'b', 3, '127.0.0.1:1', (messages.EntryAddress('e', 'a:1'),)
    ),
]


def decode_record(kind: Any) -> abc.Callable[[bytes], Any]:
    """Return a function that decodes a kind of record."""
    return lambda data: journal.decode(data, kind)


MSGPACK_DECODERS: Final[dict[str, Decoder]] = {
    'owner': Decoder(
        journal.encode(records.OwnerRecord(1, 'e', 'b', '127.0.0.1:1')),
        decode_record(records.OwnerRecord),
        STORE_ERRORS,
    ),
    'head': Decoder(
        journal.encode(
            records.HeadRecord(
                1,
                'e',
                'b',
                '127.0.0.1:1',
                'c',
                silent_targets=(records.SilentTarget('vm', 1, 2),),
            )
        ),
        decode_record(records.HeadRecord),
        STORE_ERRORS,
    ),
    'state': Decoder(
        journal.encode(STATE),
        decode_record(records.StateRecord),
        STORE_ERRORS,
    ),
    'specification': Decoder(
        journal.encode(SPEC), decode_record(records.SpecRecord), STORE_ERRORS
    ),
    'messages': Decoder(
        channel.Codec().encode(BATCH, list),
        lambda data: channel.Codec().decode(data, list),
        channel.CONNECTION_ERRORS,
    ),
    'head of a shard': Decoder(
        msgspec.msgpack.encode(shard_records.ShardHead()),
        lambda data: codec.decode_head(zlib.compress(data)),
        STORE_ERRORS,
    ),
}


def try_to_decode(decoder: Decoder, data: bytes) -> Any:
    """Return what is decoded, or None after a documented error."""
    try:
        decoded = decoder.decode(data)
    except decoder.documented:
        return None
    # What was read must also fit into a message to another process.
    msgspec.msgpack.encode(decoded)
    return decoded


@pytest.mark.parametrize('name', JSON_DECODERS)
def test_deep_document_costs_the_documented_error(name: str) -> None:
    """Guards against ``RecursionError``, which no caller handles."""
    decoder = JSON_DECODERS[name]
    for depth in odd_values.DEPTHS:
        for text in (
            odd_values.nest_lists(depth),
            odd_values.nest_objects(depth),
        ):
            odd = odd_values.add_field(decoder.valid, text)
            assert try_to_decode(decoder, odd) is None
            assert try_to_decode(decoder, text) is None


@pytest.mark.parametrize('name', MSGPACK_DECODERS)
def test_deep_record_costs_the_documented_error(name: str) -> None:
    """Guards against ``RecursionError`` at a record of the store."""
    decoder = MSGPACK_DECODERS[name]
    for depth in (5_000, 100_000):
        odd = odd_values.nest_msgpack(depth)
        assert try_to_decode(decoder, odd) is None
        if decoder.valid[0] >> 4 == 9:
            # One more element of the array.
            longer = bytes([decoder.valid[0] + 1]) + decoder.valid[1:] + odd
            assert try_to_decode(decoder, longer) is None


@pytest.mark.parametrize('name', JSON_DECODERS)
def test_odd_numbers_cost_the_documented_error(name: str) -> None:
    """Guards against a number that only a later encoding fails on."""
    decoder = JSON_DECODERS[name]
    assert decoder.valid
    texts = (*odd_values.HUGE_NUMBERS, *odd_values.SMALL_NUMBERS)
    count = len(odd_values.list_places(msgspec.json.decode(decoder.valid)))
    for place in range(count):
        for text in texts:
            odd = odd_values.replace_field(decoder.valid, place, text.encode())
            try_to_decode(decoder, odd)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', JSON_DECODERS)
def test_any_document_costs_the_documented_error(name: str, seed: int) -> None:
    """Guards against odd documents of another kind than those above."""
    decoder, rng = JSON_DECODERS[name], random.Random(seed)
    for _ in range(DRAWS_PER_SEED):
        try_to_decode(decoder, odd_values.draw_json(rng, decoder.valid))
    try_to_decode(decoder, decoder.valid)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', MSGPACK_DECODERS)
def test_any_record_costs_the_documented_error(name: str, seed: int) -> None:
    """Guards against odd records of another kind than those above."""
    decoder, rng = MSGPACK_DECODERS[name], random.Random(seed)
    for _ in range(DRAWS_PER_SEED):
        try_to_decode(decoder, odd_values.draw_msgpack(rng, decoder.valid))
    decoder.decode(decoder.valid)


@pytest.mark.parametrize('name', JSON_DECODERS)
def test_valid_document_is_read(name: str) -> None:
    """Guards against limits that refuse what the decoder is for."""
    decoder = JSON_DECODERS[name]
    if name in ('refused start', 'error of the store'):
        with pytest.raises(decoder.documented):
            decoder.decode(decoder.valid)
    else:
        assert decoder.decode(decoder.valid) is not None


@pytest.mark.parametrize('address', odd_values.ODD_ADDRESSES)
def test_odd_address_costs_the_documented_error(address: str) -> None:
    """Guards against a port that ends the loop which connects to it."""

    async def handle(incoming: Any, outbox: Any) -> None:
        raise AssertionError('connected')

    with pytest.raises(decoding.Unreadable):
        decoding.parse_address(address)
    with pytest.raises(channel.CONNECTION_ERRORS):
        asyncio.run(channel.connect(address, handle))
    heartbeat = msgspec.json.decode(HEARTBEAT)
    odd = encode_json({**heartbeat, 'Address': address})
    assert documents.decode_announcement('i-1', odd, 1) is None
    member = membership.Member('entry-1', 'boot', address, 'north')
    assert decode_member(encode_json(member)) is None


def test_brackets_in_texts_do_not_count_as_levels() -> None:
    """Guards against a specification that is refused for its brackets."""
    spec = '[' * 5_000 + '\\"' + '{' * 5_000
    body = encode_json({**msgspec.json.decode(WORKFLOW), 'Spec': spec})
    assert documents.decode_workflow('b' * 16, body).spec == spec


@pytest.mark.parametrize(
    'text', ['-1', '1.5', '\u00b2', '9' * 5_000, 'x', str(10**30), '601']
)
def test_odd_number_in_a_header_is_refused(text: str) -> None:
    """Guards against a header that is answered with an internal error."""

    class Request:
        def getHeader(self, name: str) -> str:  # noqa: N802
            return text

    request: Any = Request()
    with pytest.raises(errors.BorageshelfError) as caught:
        callers._read_integer(request, 'call-timeout-ms', 1, 600)
    assert caught.value.code is errors.BAD_REQUEST


@pytest.mark.parametrize('epoch', [-1, 2**60, 2**63])
def test_message_with_an_odd_epoch_is_refused(epoch: int) -> None:
    """Guards against an owner that steps down for an absurd epoch."""
    codec = channel.Codec()
    batch = [messages.StepDown(epoch, 'other', 'boot', '127.0.0.1:1')]
    with pytest.raises(channel.CONNECTION_ERRORS):
        codec.decode(codec.encode(batch, list), list)
