"""What a seed means: the faults and the workload of one run."""

import dataclasses
import random
from typing import Any, Final

# Traffic and faults last this long; then everything has to end.
LENGTH_MS: Final = 10_000
FIRST_FAULT_MS: Final = 500
FAULTS: Final = (5, 10)
# Longer than the silence after which entries connect anew.
MISSED_CHANGE_MS: Final = 2_500
WORKFLOWS: Final = 28
CAPACITY_MILLICORES: Final = 8_000
CAPACITY_MB: Final = 8_000

# Kinds of faults by what they strike.
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
GROUP_KINDS: Final = ('kill-entries', 'kill-agents', 'kill-all')


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    :param subject: ``entry``, ``agent``, ``link``, ``store``, ``executor``,
        ``configuration`` or ``group``
    :param index: number of what it strikes, modulo how many there are
    """

    at_ms: int
    for_ms: int
    subject: str
    kind: str
    index: int

    @property
    def end_ms(self) -> int:
        """Time at which it is over."""
        return self.at_ms + self.for_ms


@dataclasses.dataclass(frozen=True)
class Submission:
    """One workflow.

    :param cancel_after_ms: time from the acceptance to the cancel; 0 for none
    """

    at_ms: int
    workflow_id: str
    document: dict[str, Any]
    cancel_after_ms: int

    @property
    def lasts(self) -> bool:
        """Tell whether its tasks last."""
        return any(step.get('LongRunning') for step in self.document['Phases'])

    @property
    def fails(self) -> bool:
        """Tell whether its tasks always fail."""
        return str(self.document['Spec']).endswith('!')


@dataclasses.dataclass(frozen=True)
class Plan:
    """Everything that a seed decides."""

    seed: int
    entries: int
    targets: int
    faults: tuple[Fault, ...]
    submissions: tuple[Submission, ...]


_KINDS: Final[dict[str, tuple[str, ...]]] = {
    'entry': ENTRY_KINDS,
    'agent': AGENT_KINDS,
    'link': LINK_KINDS,
    'store': STORE_KINDS,
    'executor': EXECUTOR_KINDS,
    'configuration': ('change',),
    'group': GROUP_KINDS,
}
# How often each subject is drawn.
_WEIGHTS: Final = {
    'entry': 5,
    'agent': 4,
    'link': 6,
    'store': 4,
    'executor': 4,
    'configuration': 2,
    'group': 1,
}


def make_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    draw = random.Random(seed)
    count = draw.randint(*FAULTS)
    faults = [_draw_fault(draw) for _ in range(count)]
    if draw.random() < 0.5:
        # A series: the same fault again while the first one lasts.
        first = draw.choice(faults)
        faults.append(
            dataclasses.replace(
                first,
                at_ms=min(first.at_ms + 400, LENGTH_MS),
                index=first.index + draw.randint(0, 1),
            )
        )
    for change in [item for item in faults if item.subject == 'configuration']:
        if draw.random() < 0.6:
            # An entry that misses a change and comes back with the older one.
            faults.append(
                Fault(
                    max(change.at_ms - 200, 0),
                    MISSED_CHANGE_MS,
                    'entry',
                    'pause',
                    draw.randrange(100),
                )
            )
    faults.sort(key=lambda fault: fault.at_ms)
    submissions = [_draw_submission(draw) for _ in range(WORKFLOWS)]
    submissions.sort(key=lambda item: item.at_ms)
    return Plan(
        seed,
        draw.choice((2, 3)),
        draw.choice((2, 3)),
        tuple(faults),
        tuple(submissions),
    )


def _draw_fault(draw: random.Random) -> Fault:
    subject = draw.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
    return Fault(
        draw.randint(FIRST_FAULT_MS, LENGTH_MS),
        draw.choice((300, 800, 1_500, 3_000, 5_000)),
        subject,
        draw.choice(_KINDS[subject]),
        draw.randrange(100),
    )


def _draw_submission(draw: random.Random) -> Submission:
    steps: list[dict[str, Any]] = []
    lasts = draw.random() < 0.1
    for number in range(1 if lasts else draw.randint(1, 3)):
        step: dict[str, Any] = {
            'Count': draw.randint(1, 3),
            'Cpu': draw.choice((300, 800, 2_000)),
            'MemMb': draw.choice((200, 900)),
            'EstimateMs': draw.choice((200, 500, 1_500)),
        }
        if lasts:
            step['LongRunning'] = True
        elif draw.random() < 0.5:
            step['Checkpointing'] = True
        if number and draw.random() < 0.8:
            step['After'] = [draw.randrange(number)]
        if draw.random() < 0.2:
            step['AntiAffinity'] = step['Count']
        steps.append(step)
    spec = '0' if lasts else str(draw.choice((100, 300, 900, 1_800)))
    if not lasts and draw.random() < 0.08:
        spec += '!'
    cancel_after_ms = 0
    if draw.random() < (0.5 if lasts else 0.15):
        cancel_after_ms = draw.choice((200, 1_000, 3_000))
    return Submission(
        draw.randint(0, LENGTH_MS),
        f'{draw.getrandbits(64):016x}',
        {'Spec': spec, 'Phases': steps},
        cancel_after_ms,
    )
