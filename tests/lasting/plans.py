"""Plans of histories."""

import dataclasses

from borageshelf.model import workflows
from tests.lasting import disruptions


@dataclasses.dataclass(frozen=True)
class Target:
    """An executor of a plan."""

    target_id: str
    millicores: int
    labels: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Submission:
    """A workflow that a caller hands in, and may cancel later.

    :param cancel_ms: when it does; None if never
    """

    at_ms: int
    workflow: workflows.Workflow
    cancel_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Plan:
    """A history to play; all times are counted from its begin."""

    seed: int
    targets: tuple[Target, ...]
    submissions: tuple[Submission, ...]
    disruptions: tuple[disruptions.Disruption, ...]
    end_ms: int
