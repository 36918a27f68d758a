"""Effects of a shard owner that wait for a commit.

Used by ``shard_owner`` only. A reply to a request that adds or needs records
is kept with their ids. If these records were not stored, the request is
answered with an error instead.
"""

import dataclasses

from borageshelf import errors
from borageshelf.shards import effects


@dataclasses.dataclass(frozen=True)
class _RequiredRecords:
    """Ids of the records that must be stored for a reply to be true."""

    tasks: frozenset[str] = frozenset()
    claims: frozenset[str] = frozenset()


class WaitingEffects:
    """Effects that wait for the next batch, and what their replies need."""

    def __init__(self) -> None:
        self._effects: list[effects.Effect] = []
        self._required_by_token: dict[int, _RequiredRecords] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no effect waits for the next batch."""
        return not self._effects

    def add(self, effect: effects.Effect) -> None:
        """Add an effect to the next batch."""
        self._effects.append(effect)

    def add_reply(
        self,
        reply: effects.Reply,
        tasks: frozenset[str] = frozenset(),
        claims: frozenset[str] = frozenset(),
    ) -> None:
        """Add a reply that is true only if the given records are stored.

        :param tasks: ids of the tasks
        :param claims: ids of the claims
        """
        self._required_by_token[reply.token] = _RequiredRecords(tasks, claims)
        self._effects.append(reply)

    def take(self) -> tuple[effects.Effect, ...]:
        """Remove and return the effects of the next batch."""
        taken = tuple(self._effects)
        self._effects.clear()
        return taken

    def confirm_batch(self, confirmed: tuple[effects.Effect, ...]) -> None:
        """Drop what the replies of a committed batch needed."""
        for effect in confirmed:
            if isinstance(effect, effects.Reply):
                self._required_by_token.pop(effect.token, None)

    def abort_batch(
        self,
        taken: tuple[effects.Effect, ...],
        tasks: set[str],
        claims: set[str],
    ) -> tuple[effects.Effect, ...]:
        """Queue the effects of a batch that was not written once more.

        A reply that needs a dropped record is replaced by an error, also if
        it has not been taken yet.

        :param taken: effects of the batch
        :param tasks: ids of tasks that were not stored and are dropped
        :param claims: ids of claims that were not stored and are dropped
        :return: the error replies
        """
        error_replies: list[effects.Effect] = []
        kept: list[effects.Effect] = []
        for effect in [*taken, *self._effects]:
            if not isinstance(effect, effects.Reply):
                kept.append(effect)
                continue
            required = self._required_by_token.get(
                effect.token, _RequiredRecords()
            )
            if not (required.tasks & tasks or required.claims & claims):
                kept.append(effect)
                continue
            del self._required_by_token[effect.token]
            error_replies.append(
                effects.Reply(
                    effect.token,
                    errors.STORE_UNAVAILABLE,
                    'the request was not stored',
                )
            )
        self._effects = kept
        return tuple(error_replies)

    def reply_unknown_to_all(
        self, taken: tuple[effects.Effect, ...]
    ) -> tuple[effects.Reply, ...]:
        """Return replies with ``OUTCOME_UNKNOWN`` after the shard was lost.

        No reply can say "not run": the batch in flight may have been stored
        before another entry took over the shard, and a repeated request may
        reach the next owner.

        :param taken: effects of the batch in flight
        """
        replies = tuple(
            effects.Reply(
                effect.token,
                errors.OUTCOME_UNKNOWN,
                'the shard has another owner',
            )
            for effect in [*taken, *self._effects]
            if isinstance(effect, effects.Reply)
        )
        self._effects.clear()
        self._required_by_token.clear()
        return replies
