"""Property test of batch work in a simulated cluster with random faults.

Each rule performs one action of ``batch_world.World``, and ``batch_checks``
checks the properties. The test guards against interleavings of crashes,
pauses, partitions, lost answers and outages that violate a property, and
against jobs that do not end after all faults are over.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests import batch_search
from tests import batch_worker
from tests import batch_world

ENTRY = strategies.sampled_from(batch_world.ENTRIES)
TARGET = strategies.sampled_from(batch_world.TARGETS)
NODE = ENTRY | TARGET
PAIR = strategies.tuples(ENTRY, TARGET)
DIRECTION = (
    PAIR
    | PAIR.map(lambda pair: (pair[1], pair[0]))
    | ENTRY.map(lambda entry: (entry, 'store'))
)
JOB = strategies.sampled_from([f'j{number}' for number in range(6)])
SHARD = strategies.sampled_from(
    [str(number) for number in range(batch_world.SHARDS)]
)


class BatchMachine(stateful.RuleBasedStateMachine):
    """Performs random actions, then ends all faults and awaits all jobs."""

    parts: batch_world.Parts | None = None

    def __init__(self) -> None:
        super().__init__()
        self.world = batch_world.World(self.parts)
        self.has_violation = False

    def act(self, name: str, *arguments: str) -> None:
        try:
            self.world.perform(name, *arguments)
        except batch_worker.Violation:
            self.has_violation = True
            raise

    @stateful.initialize()
    def settle(self) -> None:
        self.act('run', '6000')

    @stateful.rule(
        entry=ENTRY, kind=strategies.sampled_from(batch_search.KINDS)
    )
    def submit(self, entry: str, kind: str) -> None:
        self.act('submit', entry, kind)

    @stateful.rule(entry=ENTRY, job=JOB)
    def cancel(self, entry: str, job: str) -> None:
        self.act('cancel', entry, job)

    @stateful.rule(
        name=strategies.sampled_from(['finish', 'fail', 'evict']), job=JOB
    )
    def end(self, name: str, job: str) -> None:
        self.act(name, job)

    @stateful.rule(
        name=strategies.sampled_from(['pause', 'resume', 'crash']), node=NODE
    )
    def disturb(self, name: str, node: str) -> None:
        self.act(name, node)

    @stateful.rule(
        name=strategies.sampled_from(['block', 'unblock', 'deliver']),
        direction=DIRECTION,
    )
    def partition(self, name: str, direction: tuple[str, str]) -> None:
        self.act(name, *direction)

    @stateful.rule(pair=PAIR, keeps=strategies.sampled_from(['keep', 'drop']))
    def cut(self, pair: tuple[str, str], keeps: str) -> None:
        self.act('cut', *pair, keeps)

    @stateful.rule(state=strategies.sampled_from(['on', 'off', 'off']))
    def outage(self, state: str) -> None:
        self.act('outage', state)

    @stateful.rule(
        entry=ENTRY, fate=strategies.sampled_from(batch_search.FATES)
    )
    def fate(self, entry: str, fate: str) -> None:
        self.act('fate', entry, fate)

    @stateful.rule(name=strategies.sampled_from(['arrive', 'late', 'connect']))
    def arrive(self, name: str) -> None:
        self.act(name)

    @stateful.rule(
        name=strategies.sampled_from(
            ['hold', 'unhold', 'replace', 'lose', 'work', 'work']
        ),
        vm=TARGET,
    )
    def change_vm(self, name: str, vm: str) -> None:
        self.act(name, vm)

    @stateful.rule(node=NODE, skew_ms=strategies.integers(-1000, 1000))
    def skew(self, node: str, skew_ms: int) -> None:
        self.act('skew', node, str(skew_ms))

    @stateful.rule(
        name=strategies.sampled_from(['acquire', 'release']),
        entry=ENTRY,
        shard=SHARD,
    )
    def move(self, name: str, entry: str, shard: str) -> None:
        self.act(name, entry, shard)

    @stateful.rule(entry=ENTRY)
    def step(self, entry: str) -> None:
        self.act('step', entry)

    @stateful.rule(duration_ms=strategies.sampled_from([500, 32000, 95000]))
    def skip(self, duration_ms: int) -> None:
        self.act('skip', str(duration_ms))

    @stateful.rule(
        duration_ms=strategies.sampled_from([500, 1500, 3500, 35000])
    )
    def run_world(self, duration_ms: int) -> None:
        self.act('run', str(duration_ms))

    @stateful.rule(rounds=strategies.sampled_from([1, 2, 4, 8]))
    def sprint(self, rounds: int) -> None:
        self.act('sprint', str(rounds))

    def teardown(self) -> None:
        if not self.has_violation:
            self.world.heal()


BatchMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestBatch = BatchMachine.TestCase
