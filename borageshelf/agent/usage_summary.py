"""Summary of what the attempts on a VM hold, for the entries.

One line stands for all attempts of a family, urgency and team, so the size
of a report depends on the families and not on the tasks.
"""

from collections import abc
from typing import Final

from borageshelf.agent import reservations
from borageshelf.model import resources
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2

# Smaller changes of the measured use are not worth a longer report.
ROUNDING_MILLICORES: Final = 500
ROUNDING_MB: Final = 512

Group = tuple[str, int, str]


def summarise(
    held: abc.Iterable[reservations.HeldAttempt],
) -> list[inner_pb2.Usage]:
    """Return one line for each group of occupying attempts."""
    groups: dict[Group, list[reservations.HeldAttempt]] = {}
    for item in held:
        if item.is_active:
            spec = item.spec
            key = (spec.family, spec.urgency, spec.team)
            groups.setdefault(key, []).append(item)
    return [_summarise_group(key, groups[key]) for key in sorted(groups)]


def make_fingerprint(usage: abc.Iterable[inner_pb2.Usage]) -> bytes:
    """Return bytes that change when the usage changes noticeably."""
    rounded = inner_pb2.Report()
    for item in usage:
        copy = rounded.usage.add()
        copy.CopyFrom(item)
        used = copy.used
        used.processor_millicores //= ROUNDING_MILLICORES
        used.memory_mb //= ROUNDING_MB
        copy.held.processor_millicores //= ROUNDING_MILLICORES
        copy.held.memory_mb //= ROUNDING_MB
    # The prefix tells "nothing runs" from "nothing was sent yet".
    return b'usage' + rounded.SerializeToString(deterministic=True)


def _summarise_group(
    key: Group, items: list[reservations.HeldAttempt]
) -> inner_pb2.Usage:
    family, urgency, team = key
    used = held = resources.NOTHING
    for item in items:
        used = used.plus(item.used)
        held = held.plus(item.charged)
    return inner_pb2.Usage(
        family=family,
        urgency=urgency,
        team=team,
        used=convert.pack_resources(used),
        held=convert.pack_resources(held),
        attempts=len(items),
        movable=all(item.spec.idempotent for item in items),
    )
