"""Derives the faults and the workload of one run from its seed."""

from collections import abc
import dataclasses
import random
from typing import Any, Final

from borageshelf.workflows import policy
from standins import gangs
from tests.soak import crowds
from tests.soak import recurring

# Submissions and faults start within this time; then all workflows must end.
LOAD_DURATION_MS: Final = 10_000
FIRST_FAULT_AT_MS: Final = 500
FAULT_COUNT_RANGE: Final = (5, 10)
# Longer than the silence after which entries reconnect.
MISSED_CHANGE_PAUSE_MS: Final = 2_500
WORKFLOW_COUNT: Final = 28
CAPACITY_MILLICORES: Final = 8_000
CAPACITY_MEMORY_MB: Final = 8_000
# Plans of earlier seeds stay as they were when these found something.
FIRST_SEED_WITH_DEADLY_TASKS: Final = 5_000
DEADLY_COUNT_RANGE: Final = (0, 2)
SHRINK_COUNT_RANGE: Final = (0, 2)
FIRST_SEED_WITH_ODD_ENTRIES: Final = 1_000_000
ODD_ENTRY_COUNT_RANGE: Final = (0, 4)
FIRST_SEED_WITH_SUSPENSIONS: Final = 2_000_000
SUSPENSION_COUNT_RANGE: Final = (1, 3)
SUSPENSION_DURATIONS_MS: Final = (2_000, 4_000, policy.SUSPENSION_LIMIT_MS)
# A process may get the processor of a busy VM so much later than another one.
LATE_AGENT_MS: Final = 700
# Until an executor's lease has certainly ended, only its agent can stop the
# runs of a VM that was suspended.
UNDISTURBED_MS: Final = 7_000

# Kinds of faults by the component that they affect.
ENTRY_KINDS: Final = ('kill', 'term', 'pause', 'hup', 'clock')
AGENT_KINDS: Final = ('kill', 'term', 'pause', 'hup', 'clock')
LINK_KINDS: Final = (
    'delay',
    'reset',
    'silent',
    'silent-open',
    'no-answers',
    'refusing',
)
STORE_KINDS: Final = (
    'refuse',
    'hang',
    'slow',
    'lose-answers',
    'late-writes',
    'compact',
    'lapse',
)
EXECUTOR_KINDS: Final = (
    'crash',
    'crash-same-id',
    'late-orders',
    'fail-all',
    'leave',
)
SHRINK_KINDS: Final = ('shrink-to-half', 'shrink-to-nothing')
ODD_ENTRY_KINDS: Final = ('configuration', 'owner', 'keys', 'heartbeats')
VM_KINDS: Final = ('suspend', 'suspend-agent-longer')
FIRST_SEED_WITH_CUTS: Final = 3_000_000
FIRST_SEED_WITH_REFUSALS: Final = 3_500_000
REFUSAL_COUNT_RANGE: Final = (1, 3)
REFUSAL_DURATIONS_MS: Final = (300, 1_500, 5_500)
FIRST_SEED_WITH_GANGS: Final = 3_700_000
GANG_COUNT_RANGE: Final = (4, 8)
GANG_SIZES: Final = (2, 3, 4)
FAILING_GANG_SHARE: Final = 0.3
FIRST_SEED_WITH_GANG_CHECKPOINTS: Final = 3_800_000
FIRST_SEED_WITH_RECURRING: Final = 3_900_000
FIRST_SEED_WITH_CROWDS: Final = 3_950_000
CROWD_COUNT_RANGE: Final = (1, 3)
FIRST_SEED_WITH_MANY_CROWDS: Final = 3_970_000
MANY_CROWDS_COUNT_RANGE: Final = (4, 7)
LOST_ENTRY_COUNT_RANGE: Final = (1, 2)
LOST_ENTRY_DURATIONS_MS: Final = (800, 5_000)
# As the sites of the users' platform have them.
CUT_MS: Final = 5_500
SUSPENSION_BESIDE_CUT_MS: Final = 4_000
ZONES: Final = ('tajo-norte', 'tajo-sur', 'molino-alto')
GROUP_KINDS: Final = ('kill-entries', 'kill-agents', 'kill-all')


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    :param subject: ``entry``, ``agent``, ``link``, ``store``, ``executor``,
        ``configuration``, ``group``, ``odd-entry``, ``vm`` or ``entry-link``
    :param index: number of the affected component, modulo their count
    """

    at_ms: int
    duration_ms: int
    subject: str
    kind: str
    index: int

    @property
    def end_ms(self) -> int:
        """Time at which the fault ends."""
        return self.at_ms + self.duration_ms


@dataclasses.dataclass(frozen=True)
class Leaving:
    """A caller who leaves before the answer, and cancels at another entry.

    :param entry_index: number of the entry that the caller leaves
    :param after_ms: time from the submission
    """

    entry_index: int
    after_ms: int


@dataclasses.dataclass(frozen=True)
class Submission:
    """A workflow that a caller submits.

    :param cancel_after_ms: time from acceptance to cancellation, 0 for none
    :param leaving: whether the caller leaves before the acceptance
    """

    at_ms: int
    workflow_id: str
    document: dict[str, Any]
    cancel_after_ms: int
    leaving: Leaving | None = None

    @property
    def is_long_running(self) -> bool:
        """Tell whether its tasks run until they are stopped."""
        return any(
            phase.get('LongRunning') for phase in self.document['Phases']
        )

    @property
    def repeats(self) -> int:
        """Number of times that its steps run."""
        return int(self.document.get('RepeatCount', 1))

    @property
    def has_gangs(self) -> bool:
        """Tell whether the tasks of each of its steps run only together."""
        return gangs.GANG_MARK in self.document['Spec']

    @property
    def always_fails(self) -> bool:
        """Tell whether every attempt of its tasks fails."""
        return str(self.document['Spec']).endswith('!')

    @property
    def is_deadly(self) -> bool:
        """Tell whether its tasks crash the executors that run them."""
        return str(self.document['Spec']).endswith('#')


@dataclasses.dataclass(frozen=True)
class Plan:
    """The topology, faults and submissions of one run.

    :param load_ms: submissions and faults start within this time
    :param zones: zones of the entries and of the targets, in turn
    """

    seed: int
    entries: int
    targets: int
    faults: tuple[Fault, ...]
    submissions: tuple[Submission, ...]
    load_ms: int = LOAD_DURATION_MS
    zones: tuple[str, ...] = ZONES[:1]

    @property
    def has_recurring(self) -> bool:
        """Tell whether workflows repeat."""
        return any(item.repeats > 1 for item in self.submissions)

    @property
    def has_evacuations(self) -> bool:
        """Tell whether data centres are evacuated."""
        return any(fault.subject == 'evacuation' for fault in self.faults)

    @property
    def has_crowds(self) -> bool:
        """Tell whether callers leave requests unfinished."""
        return any(fault.subject == 'crowd' for fault in self.faults)

    @property
    def has_lost_entries(self) -> bool:
        """Tell whether an entry loses its power."""
        return any(
            (fault.subject, fault.kind) == ('entry-link', 'lose-power')
            for fault in self.faults
        )


_KINDS_BY_SUBJECT: Final[dict[str, tuple[str, ...]]] = {
    'entry': ENTRY_KINDS,
    'agent': AGENT_KINDS,
    'link': LINK_KINDS,
    'store': STORE_KINDS,
    'executor': EXECUTOR_KINDS,
    'configuration': ('change',),
    'group': GROUP_KINDS,
}
# Relative probability of each subject.
_SUBJECT_WEIGHTS: Final = {
    'entry': 5,
    'agent': 4,
    'link': 6,
    'store': 4,
    'executor': 4,
    'configuration': 2,
    'group': 1,
}


def make_plan(seed: int) -> Plan:
    """Return the plan of a seed; equal seeds give equal plans."""
    rng = random.Random(seed)
    count = rng.randint(*FAULT_COUNT_RANGE)
    faults = [_draw_fault(rng) for _ in range(count)]
    if rng.random() < 0.5:
        # Repeats one fault shortly after its start, while it may be active.
        first = rng.choice(faults)
        faults.append(
            dataclasses.replace(
                first,
                at_ms=min(first.at_ms + 400, LOAD_DURATION_MS),
                index=first.index + rng.randint(0, 1),
            )
        )
    for change in [item for item in faults if item.subject == 'configuration']:
        if rng.random() < 0.6:
            # Pauses an entry, so that it misses the change and resumes with
            # the older configuration.
            faults.append(
                Fault(
                    max(change.at_ms - 200, 0),
                    MISSED_CHANGE_PAUSE_MS,
                    'entry',
                    'pause',
                    rng.randrange(100),
                )
            )
    faults.sort(key=lambda fault: fault.at_ms)
    submissions = [draw_submission(rng) for _ in range(WORKFLOW_COUNT)]
    if seed >= FIRST_SEED_WITH_DEADLY_TASKS:
        submissions = make_some_deadly(rng, submissions)
        faults += [
            _draw_shrink(rng) for _ in range(rng.randint(*SHRINK_COUNT_RANGE))
        ]
        faults.sort(key=lambda fault: fault.at_ms)
    if seed >= FIRST_SEED_WITH_ODD_ENTRIES:
        count = rng.randint(*ODD_ENTRY_COUNT_RANGE)
        faults += [_draw_odd_entry(rng) for _ in range(count)]
        faults.sort(key=lambda fault: fault.at_ms)
    submissions.sort(key=lambda item: item.at_ms)
    entries = rng.choice((2, 3))
    targets = rng.choice((2, 3))
    if seed >= FIRST_SEED_WITH_SUSPENSIONS:
        faults += _draw_suspensions(rng, faults, targets)
    if seed >= FIRST_SEED_WITH_CUTS:
        faults += _draw_suspension_beside_cut(rng, faults, targets)
    if seed >= FIRST_SEED_WITH_REFUSALS:
        faults += [
            _draw_refusal(rng)
            for _ in range(rng.randint(*REFUSAL_COUNT_RANGE))
        ]
    if seed >= FIRST_SEED_WITH_GANGS:
        submissions = make_some_gangs(
            rng, submissions, seed >= FIRST_SEED_WITH_GANG_CHECKPOINTS
        )
        faults += [
            _draw_lost_entry(rng)
            for _ in range(rng.randint(*LOST_ENTRY_COUNT_RANGE))
        ]
    if seed >= FIRST_SEED_WITH_RECURRING:
        submissions = make_some_recurring(rng, submissions)
    if seed >= FIRST_SEED_WITH_MANY_CROWDS:
        faults += draw_many_crowds(rng, LOAD_DURATION_MS)
    elif seed >= FIRST_SEED_WITH_CROWDS:
        faults += draw_crowds(rng, LOAD_DURATION_MS)
    faults.sort(key=lambda fault: fault.at_ms)
    return Plan(
        seed,
        entries,
        targets,
        tuple(faults),
        tuple(submissions),
    )


def _draw_fault(rng: random.Random) -> Fault:
    subject = rng.choices(
        list(_SUBJECT_WEIGHTS), list(_SUBJECT_WEIGHTS.values())
    )[0]
    return Fault(
        rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS),
        rng.choice((300, 800, 1_500, 3_000, 5_000)),
        subject,
        rng.choice(_KINDS_BY_SUBJECT[subject]),
        rng.randrange(100),
    )


def draw_crowds(
    rng: random.Random,
    load_ms: int,
    kinds: abc.Sequence[str] = crowds.FIRST_KINDS,
    count_range: tuple[int, int] = CROWD_COUNT_RANGE,
) -> list[Fault]:
    """Return crowds of callers that leave their requests unfinished."""
    return [
        Fault(
            rng.randint(FIRST_FAULT_AT_MS, load_ms),
            rng.choice((800, 3_000, 5_000)),
            'crowd',
            rng.choice(kinds),
            rng.randrange(100),
        )
        for _ in range(rng.randint(*count_range))
    ]


def draw_many_crowds(rng: random.Random, load_ms: int) -> list[Fault]:
    """Return crowds of all kinds, several of which overlap."""
    return draw_crowds(rng, load_ms, crowds.KINDS, MANY_CROWDS_COUNT_RANGE)


def _draw_shrink(rng: random.Random) -> Fault:
    """Return a fault that shrinks the capacity of an executor."""
    return Fault(
        rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS),
        rng.choice((800, 3_000, 5_000)),
        'executor',
        rng.choice(SHRINK_KINDS),
        rng.randrange(100),
    )


def _draw_odd_entry(rng: random.Random) -> Fault:
    """Return a fault that writes odd entries."""
    return Fault(
        rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS),
        rng.choice((300, 1_500, 3_000)),
        'odd-entry',
        rng.choice(ODD_ENTRY_KINDS),
        rng.randrange(100),
    )


def _draw_suspensions(
    rng: random.Random, others: list[Fault], targets: int
) -> list[Fault]:
    """Return suspensions of VMs, each of them at most once.

    A VM whose agent is disturbed before it could stop the runs is left out:
    its runs may go on for as long as the lease on its slow clock.
    """
    found = []
    count = rng.randint(*SUSPENSION_COUNT_RANGE)
    for index in rng.sample(range(targets), min(count, targets)):
        suspension = Fault(
            rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS),
            rng.choice(SUSPENSION_DURATIONS_MS),
            'vm',
            rng.choice(VM_KINDS),
            index,
        )
        if not any(
            _is_same_agent(other, index, targets)
            and other.at_ms < suspension.end_ms + UNDISTURBED_MS
            and suspension.at_ms < other.end_ms
            for other in others
        ):
            found.append(suspension)
    return found


def _draw_suspension_beside_cut(
    rng: random.Random, others: list[Fault], targets: int
) -> list[Fault]:
    """Return a cut and a suspension of a VM, in any order.

    Whatever happens to its agent, the lease ends its runs in time.
    """
    suspended = {other.index for other in others if other.subject == 'vm'}
    free = [index for index in range(targets) if index not in suspended]
    if not free:
        return []
    index = rng.choice(free)
    cut_ms = rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS)
    suspended_ms = cut_ms + rng.randrange(-SUSPENSION_BESIDE_CUT_MS, CUT_MS)
    return [
        Fault(cut_ms, CUT_MS, 'vm', 'cut', index),
        Fault(
            max(suspended_ms, 0),
            SUSPENSION_BESIDE_CUT_MS,
            'vm',
            'suspend',
            index,
        ),
    ]


def _draw_refusal(rng: random.Random) -> Fault:
    """Return refused connections of an executor that goes on."""
    return Fault(
        rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS),
        rng.choice(REFUSAL_DURATIONS_MS),
        'vm',
        'refuse-executor',
        rng.randrange(100),
    )


def _draw_lost_entry(rng: random.Random) -> Fault:
    """Return a loss of power of an entry beside large configurations."""
    return Fault(
        rng.randint(FIRST_FAULT_AT_MS, LOAD_DURATION_MS),
        rng.choice(LOST_ENTRY_DURATIONS_MS),
        'entry-link',
        'lose-power',
        rng.randrange(100),
    )


def make_some_gangs(
    rng: random.Random, submissions: list[Submission], has_checkpoints: bool
) -> list[Submission]:
    """Make gangs of all steps of some workflows.

    :param has_checkpoints: whether their steps may checkpoint
    """
    dropped = {'AntiAffinity'}
    if not has_checkpoints:
        dropped.add('Checkpointing')
    finite = [
        number
        for number, item in enumerate(submissions)
        if not (item.is_long_running or item.is_deadly)
    ]
    count = min(rng.randint(*GANG_COUNT_RANGE), len(finite))
    made = list(submissions)
    for number in rng.sample(finite, count):
        item = submissions[number]
        size = rng.choice(GANG_SIZES)
        work, failure_mark, _ = str(item.document['Spec']).partition('!')
        if rng.random() < FAILING_GANG_SHARE:
            failure_mark = '!'
        phases = [
            {
                **{
                    name: value
                    for name, value in phase.items()
                    if name not in dropped
                },
                'Count': size,
                'Gang': True,
            }
            for phase in item.document['Phases']
        ]
        spec = f'{work}{gangs.GANG_MARK}{size}{failure_mark}'
        made[number] = dataclasses.replace(
            item, document={'Spec': spec, 'Phases': phases}
        )
    return made


def make_some_recurring(
    rng: random.Random, submissions: list[Submission]
) -> list[Submission]:
    """Let some workflows repeat."""
    finite = [
        number
        for number, item in enumerate(submissions)
        if not (item.is_long_running or item.is_deadly)
    ]
    count = min(rng.randint(*recurring.COUNT_RANGE), len(finite))
    made = list(submissions)
    for number in rng.sample(finite, count):
        item = made[number]
        made[number] = dataclasses.replace(
            item, document=recurring.repeat(rng, item.document)
        )
    return made


def _is_same_agent(fault: Fault, index: int, targets: int) -> bool:
    """Tell whether a fault stops or ends the agent of a VM."""
    if fault.subject == 'group':
        return fault.kind != 'kill-entries'
    is_process_stopped = fault.kind in ('kill', 'term', 'pause')
    return (
        fault.subject == 'agent'
        and is_process_stopped
        and fault.index % targets == index
    )


def make_some_deadly(
    rng: random.Random, submissions: list[Submission]
) -> list[Submission]:
    """Make the tasks of some workflows crash their executors."""
    count = rng.randint(*DEADLY_COUNT_RANGE)
    finite = [item for item in submissions if not item.is_long_running]
    deadly = {
        item.workflow_id
        for item in rng.sample(finite, min(count, len(finite)))
    }
    return [
        dataclasses.replace(
            item,
            document={
                **item.document,
                'Spec': rng.choice(('10#', '300#', '1500#')),
            },
        )
        if item.workflow_id in deadly
        else item
        for item in submissions
    ]


def draw_submission(rng: random.Random) -> Submission:
    """Draw a workflow."""
    phases: list[dict[str, Any]] = []
    is_long_running = rng.random() < 0.1
    for number in range(1 if is_long_running else rng.randint(1, 3)):
        phase: dict[str, Any] = {
            'Count': rng.randint(1, 3),
            'Cpu': rng.choice((300, 800, 2_000)),
            'MemMb': rng.choice((200, 900)),
            'EstimateMs': rng.choice((200, 500, 1_500)),
        }
        if is_long_running:
            phase['LongRunning'] = True
        elif rng.random() < 0.5:
            phase['Checkpointing'] = True
        if number and rng.random() < 0.8:
            phase['After'] = [rng.randrange(number)]
        if rng.random() < 0.2:
            phase['AntiAffinity'] = phase['Count']
        phases.append(phase)
    spec = '0' if is_long_running else str(rng.choice((100, 300, 900, 1_800)))
    if not is_long_running and rng.random() < 0.08:
        spec += '!'
    cancel_after_ms = 0
    if rng.random() < (0.5 if is_long_running else 0.15):
        cancel_after_ms = rng.choice((200, 1_000, 3_000))
    return Submission(
        rng.randint(0, LOAD_DURATION_MS),
        f'{rng.getrandbits(64):016x}',
        {'Spec': spec, 'Phases': phases},
        cancel_after_ms,
    )
