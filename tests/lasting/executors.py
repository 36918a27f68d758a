"""Executors of the histories, as their own lists show them."""

import dataclasses
import random
from typing import Final

from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import messages

RunKey = tuple[str, int]
TICK_MS: Final = 100
SERVICE: Final = 'pigment'
LEAVES_IN_MS: Final = 5_000
# Longest lease; an order that reaches the next incarnation gets all of it, as
# its deadline is far ahead on a clock that begins anew.
LEASE_LIMIT_MS: Final = 6_000
# An order that is later than a grant has been given up on its way.
LATE_LIMIT_MS: Final = 5_500
# Share of the runs of lasting tasks that fail by themselves, and the time
# within which they do.
LASTING_ERROR_SHARE: Final = 0.03
LASTING_ERROR_AGE_MS: Final = 20_000
# Share of the runs of all other tasks that fail.
SHORT_ERROR_SHARE: Final = 0.05


@dataclasses.dataclass(frozen=True)
class Start:
    """An order to start a run.

    :param token: fencing token of the session
    :param sent_at_ms: when the agent sent it
    """

    key: RunKey
    step: workflows.Step
    token: int
    sent_at_ms: int


@dataclasses.dataclass
class Run:
    """A run on an executor.

    :ivar left_ms: time until it ends by itself; None if it does not
    """

    step: workflows.Step
    duration_ms: int
    left_ms: int | None
    end_kind: task_executor.EndKind

    @property
    def progress_percent(self) -> int:
        """Share of its work that is done."""
        if self.step.is_lasting or self.left_ms is None:
            return 0
        return 100 - 100 * self.left_ms // max(self.duration_ms, 1)


class Executor:
    """An executor on a VM.

    :ivar runs: what it runs, by task and attempt
    :ivar ended: ends that have not been acknowledged, by number
    :ivar failing: share of the starts that fail and the age at which they do,
        for each open disruption
    :ivar refusing: whether it calls itself unhealthy as it refuses starts, for
        each open disruption
    :ivar mute_count: number of disruptions that keep it from answering
    :ivar stall_count: number of disruptions that keep tasks from progress
    :ivar late_ms: delays of all orders, which it does not answer, one for
        each open disruption
    :ivar drain_count: number of open drains
    :ivar down_count: number of crashes after which it is not back yet
    """

    def __init__(
        self,
        target_id: str,
        capacity: resources.Resources,
        labels: tuple[str, ...],
        seed: int,
    ) -> None:
        self.target_id = target_id
        self.full_capacity = capacity
        self.capacity = capacity
        self.labels = labels
        self._seed = seed
        self.start_count = 1
        self.id_count = 1
        self.runs: dict[RunKey, Run] = {}
        self.ended: dict[int, messages.Ended] = {}
        self.next_number = 1
        self.lease_deadline_ms = 0
        self.failing: list[tuple[float, int]] = []
        self.refusing: list[bool] = []
        self.mute_count = 0
        self.stall_count = 0
        self.late_ms: list[int] = []
        self._late_starts: list[tuple[int, Start]] = []
        self._late_stops: list[tuple[int, RunKey]] = []
        self._refused_keys: set[RunKey] = set()
        self._fence = 0
        self.drain_count = 0
        self.down_count = 0
        self.is_lost = False
        self.suspended_at_ms: int | None = None

    @property
    def executor_id(self) -> str:
        """Id that orders name; several incarnations may have it."""
        return f'{self.target_id}/{self.id_count}'

    @property
    def incarnation(self) -> str:
        """Identity of this start of the executor."""
        return f'{self.executor_id}/{self.start_count}'

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return not (self.down_count or self.is_lost)

    @property
    def is_suspended(self) -> bool:
        """Whether its VM is suspended."""
        return self.suspended_at_ms is not None

    def suspend(self, now_ms: int) -> None:
        """Stand still, and with it the clock of the lease."""
        self.suspended_at_ms = now_ms

    def resume(self, now_ms: int) -> None:
        """Go on; the lease has as much left as before."""
        assert self.suspended_at_ms is not None
        self.lease_deadline_ms += now_ms - self.suspended_at_ms
        self.suspended_at_ms = None

    @property
    def answers(self) -> bool:
        """Whether it answers its agent."""
        return self.is_up and not (self.mute_count or self.is_suspended)

    @property
    def is_draining(self) -> bool:
        """Whether it will leave."""
        return self.drain_count > 0

    @property
    def is_sound(self) -> bool:
        """Whether it carries out all orders as it should."""
        return self.answers and not (
            self.failing or self.refusing or self.stall_count or self.late_ms
        )

    def make_state(self) -> messages.TargetState:
        """Return what it announces."""
        return messages.TargetState(
            self.incarnation,
            SERVICE,
            self.capacity,
            self.labels,
            self.is_draining,
            LEAVES_IN_MS,
        )

    def has_room(self, step: workflows.Step) -> bool:
        """Tell whether one more task of a step fits beside its runs."""
        reserved = step.reserved
        for run in self.runs.values():
            reserved = reserved.plus(run.step.reserved)
        return reserved.fits_in(self.capacity)

    def would_take(self, step: workflows.Step, step_name: str) -> bool:
        """Tell whether it would run one more task of a step well."""
        if not self.is_sound or self.is_draining:
            return False
        if step.label and step.label not in self.labels:
            return False
        siblings = sum(task.startswith(step_name) for task, _ in self.runs)
        if step.spread_limit and siblings >= step.spread_limit:
            return False
        return self.has_room(step)

    def order_start(self, start: Start, now_ms: int) -> None:
        """Carry out a start, perhaps later."""
        if self.late_ms or self.mute_count:
            due_ms = now_ms + max(self.late_ms, default=0)
            self._late_starts.append((due_ms, start))
        else:
            self._start(start.key, start.step)

    def order_stop(self, key: RunKey, now_ms: int) -> None:
        """Carry out a stop, perhaps later."""
        if self.late_ms:
            self._late_stops.append((now_ms + max(self.late_ms), key))
        else:
            self._stop(key)

    def inspect(self, token: int) -> None:
        """Note the fencing token of an inspection.

        Late orders that it refuses do not reach the next incarnation either;
        see the open counterexamples in docs/model.md.
        """
        self._fence = max(self._fence, token)
        self._late_starts = [
            each for each in self._late_starts if each[1].token >= token
        ]

    def take_new_id(self) -> None:
        """Be back under another id, which refuses orders on their way."""
        self.id_count += 1
        self._late_starts.clear()
        self._late_stops.clear()

    def _start(self, key: RunKey, step: workflows.Step) -> None:
        """Start a run."""
        if key in self.runs or key in self._refused_keys:
            return
        # Independent of all else, so that a history stays the same if parts
        # that do not matter are left out.
        rng = random.Random(f'{self._seed}/{key}')
        duration_ms = step.estimate_ms
        left_ms: int | None = duration_ms
        end_kind = task_executor.EndKind.DONE
        if step.is_lasting:
            left_ms = None
            if rng.random() < LASTING_ERROR_SHARE:
                end_kind = task_executor.EndKind.FAILED
                left_ms = rng.randrange(0, LASTING_ERROR_AGE_MS, TICK_MS)
        elif rng.random() < SHORT_ERROR_SHARE:
            end_kind = task_executor.EndKind.FAILED
            left_ms = rng.randrange(0, duration_ms, TICK_MS)
        for share, age_ms in self.failing:
            if rng.random() < share:
                end_kind = task_executor.EndKind.FAILED
                left_ms = age_ms
        self.runs[key] = Run(step, duration_ms, left_ms, end_kind)

    def _stop(self, key: RunKey) -> None:
        """Stop a run, or reject its start if that comes later."""
        self._refused_keys.add(key)
        self._late_starts = [
            each for each in self._late_starts if each[1].key != key
        ]
        self._end(key, task_executor.EndKind.STOPPED)

    def advance(self, now_ms: int) -> None:
        """Let time pass for all runs."""
        if not self.is_up or self.is_suspended:
            return
        self._carry_out_late_orders(now_ms)
        for key, run in list(self.runs.items()):
            if run.left_ms is None:
                continue
            if self.stall_count and not run.step.is_lasting:
                continue
            if run.left_ms <= 0:
                self._end(key, run.end_kind)
            else:
                run.left_ms -= TICK_MS
        if now_ms >= self.lease_deadline_ms:
            for key in list(self.runs):
                self._end(key, task_executor.EndKind.LEASE_EXPIRED)

    def _carry_out_late_orders(self, now_ms: int) -> None:
        if self.mute_count:
            return
        for item in [each for each in self._late_starts if each[0] <= now_ms]:
            self._late_starts.remove(item)
            start = item[1]
            is_refused = start.token < self._fence or not self.has_room(
                start.step
            )
            if is_refused or now_ms - start.sent_at_ms > LATE_LIMIT_MS:
                continue
            if self.lease_deadline_ms <= now_ms:
                if self._fence:
                    continue
                self.lease_deadline_ms = now_ms + LEASE_LIMIT_MS
            self._start(start.key, start.step)
        for stop in [each for each in self._late_stops if each[0] <= now_ms]:
            self._late_stops.remove(stop)
            self._stop(stop[1])

    def crash(self) -> None:
        """End the process with all that it knows."""
        self.down_count += 1
        self._clear()

    def restart(self) -> None:
        """Undo a crash; the process is back once all are undone."""
        self.down_count -= 1
        self._clear()
        if not self.down_count:
            self.start_count += 1

    def lose(self) -> None:
        """Lose the VM for good."""
        self.is_lost = True
        self._clear()

    def _clear(self) -> None:
        self.runs.clear()
        self.ended.clear()
        self.next_number = 1
        self.lease_deadline_ms = 0
        self._refused_keys.clear()
        self._fence = 0

    def _end(self, key: RunKey, kind: task_executor.EndKind) -> None:
        if self.runs.pop(key, None) is None:
            return
        self._refused_keys.add(key)
        task, attempt = key
        end = messages.Ended(self.next_number, task, attempt, kind, '')
        self.ended[end.number] = end
        self.next_number += 1
