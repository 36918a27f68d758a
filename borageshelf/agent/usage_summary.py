"""Summary of the resources that the attempts on a VM use, for the entries.

One item covers all attempts of the same family, urgency and team, so the
size of a report grows with the number of families and not with the number of
tasks.
"""

from collections import abc
from typing import Final

from borageshelf.agent import reservations
from borageshelf.model import resources
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2

# Use is rounded down to these units before it is compared. Smaller changes
# do not justify a longer report.
ROUNDING_MILLICORES: Final = 500
ROUNDING_MB: Final = 512

Group = tuple[str, int, str]


def summarise(
    attempts: abc.Iterable[reservations.HeldAttempt],
) -> list[inner_pb2.Usage]:
    """Return one item for each group of active attempts."""
    groups: dict[Group, list[reservations.HeldAttempt]] = {}
    for attempt in attempts:
        if attempt.is_active:
            spec = attempt.spec
            key = (spec.family, spec.urgency, spec.team)
            groups.setdefault(key, []).append(attempt)
    return [_summarise_group(key, groups[key]) for key in sorted(groups)]


def make_fingerprint(usage: abc.Iterable[inner_pb2.Usage]) -> bytes:
    """Return bytes that differ when the rounded usage differs."""
    rounded = inner_pb2.Report()
    for item in usage:
        copy = rounded.usage.add()
        copy.CopyFrom(item)
        used = copy.used
        used.processor_millicores //= ROUNDING_MILLICORES
        used.memory_mb //= ROUNDING_MB
        copy.held.processor_millicores //= ROUNDING_MILLICORES
        copy.held.memory_mb //= ROUNDING_MB
    # The prefix distinguishes an empty usage from a usage that has not been
    # sent yet.
    return b'usage' + rounded.SerializeToString(deterministic=True)


def _summarise_group(
    key: Group, attempts: list[reservations.HeldAttempt]
) -> inner_pb2.Usage:
    family, urgency, team = key
    used = held = resources.NOTHING
    for attempt in attempts:
        used = used.plus(attempt.used)
        held = held.plus(attempt.charged)
    return inner_pb2.Usage(
        family=family,
        urgency=urgency,
        team=team,
        used=convert.pack_resources(used),
        held=convert.pack_resources(held),
        attempts=len(attempts),
        movable=all(attempt.spec.idempotent for attempt in attempts),
    )
