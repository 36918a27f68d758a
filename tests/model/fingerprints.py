"""Fingerprints of complete states."""

from tests.model import world as model_world


def compute(world: model_world.World) -> int:
    """Return the fingerprint of a state."""
    return hash(tuple(world.lines))
