"""State of the simulated cluster: entries, streams, agents, workers, store.

``batch_entries`` and ``batch_world`` add the actions that change it.
"""

import collections
import dataclasses
from typing import Any, Final

from borageshelf.agent import reservations
from borageshelf import errors
from borageshelf.model import resources
from borageshelf.shards import grants
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner
from tests import batch_agent
from tests import batch_checks
from tests import batch_worker
from tests import fakes

ENTRIES: Final = ('e1', 'e2')
TARGETS: Final = ('t1', 't2')
SHARDS: Final = 2
TICK_MS: Final = 500
LEASE_MS: Final = 10_000
REPORT_MS: Final = 2_000
SKEW_LIMIT_MS: Final = 1_000
# A VM holds two tasks.
CAPACITY: Final = resources.Resources(2000, 2000)
DECLARED: Final = resources.Resources(1000, 1000)
# The horizons are short, so that they pass within a test run.
POLICY: Final = grants.GrantPolicy(30_000, 60_000, 90_000, 2_000)


@dataclasses.dataclass(frozen=True)
class Parts:
    """The classes under test, which a test may replace by faulty variants."""

    owner_type: type[shard_owner.ShardOwner] = shard_owner.ShardOwner
    log_type: type[shard_log.ShardLog] = shard_log.ShardLog
    ledger_type: type[reservations.Reservations] = reservations.Reservations


class Link:
    """One stream between an agent process and an entry process."""

    def __init__(self, entry: 'Entry', agent: batch_agent.Agent) -> None:
        self.entry = entry
        self.agent = agent
        self.to_entry: collections.deque[Any] = collections.deque()
        self.to_agent: collections.deque[Any] = collections.deque()
        self.is_open = True
        self.to_entry.append(batch_agent.Hello(agent.identity))

    def break_stream(self, keeps_messages: bool) -> None:
        """Break the stream.

        :param keeps_messages: whether messages that were sent may still
            arrive
        """
        self.is_open = False
        if not keeps_messages:
            self.to_entry.clear()
            self.to_agent.clear()


class Shard:
    """A shard that an entry owns or is acquiring."""

    def __init__(
        self, engine: shard_log.ShardLog, process: fakes.CoroutineStepper
    ) -> None:
        self.log = engine
        self.process: fakes.CoroutineStepper | None = process
        self.owner: shard_owner.ShardOwner | None = None
        self.batch: shard_owner.CommitBatch | None = None
        self.is_releasing = False


class Entry:
    """One entry process."""

    def __init__(self, entry_id: str) -> None:
        self.entry_id = entry_id
        self.shards: dict[int, Shard] = {}
        self.sessions: dict[str, Link] = {}
        self.lease_deadline_ms = 0
        self.announced: set[int] = set()


class State:
    """State of all processes, streams and workers, and of the faults."""

    def __init__(self, parts: Parts | None = None) -> None:
        self.parts = parts or Parts()
        self.now_ms = 1_000_000
        self.store = fakes.FakeStore()
        self.checks = batch_checks.Checks(self.store)
        self.skews: dict[str, int] = {}
        self.paused: set[str] = set()
        self.blocked: set[tuple[str, str]] = set()
        self.fates: dict[str, list[fakes.CallOutcome]] = {}
        self.entries = {name: Entry(name) for name in ENTRIES}
        self.workers: dict[str, batch_worker.FakeWorker] = {}
        self.agents: dict[str, batch_agent.Agent] = {}
        self.dead_agents: list[batch_agent.Agent] = []
        self.links: list[Link] = []
        self.jobs: list[str] = []
        self.tokens = 0
        self.requests: dict[int, str] = {}
        self.replies: dict[int, errors.ResultCode] = {}
        self.executions: list[batch_worker.Execution] = []
        self.reported_at_ms: dict[str, int] = {}
        self.placements = 0
        self.policy = POLICY
        # Targets to which new tasks are assigned.
        self.placeable = set(TARGETS)

    def _read_clock(self, node: str) -> int:
        return self.now_ms + self.skews.get(node, 0)

    def _find_shard(self, job_id: str) -> int:
        return int(job_id[1:]) % SHARDS

    def _find_owned(self, entry_id: str, number: int) -> Shard | None:
        if entry_id in self.paused:
            return None
        return self.entries[entry_id].shards.get(number)
