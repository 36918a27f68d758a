"""Searches seeds: ``python -m tests.lasting.search --first 1 --seeds 500``."""

import argparse
import collections
from collections import abc
import dataclasses
import sys

from tests.lasting import histories
from tests.lasting import planner
from tests.lasting import plans


def shrink(plan: plans.Plan, kind: str) -> plans.Plan:
    """Leave out parts of a plan as long as it has such a finding."""
    is_smaller = True
    while is_smaller:
        is_smaller = False
        for smaller in _list_smaller(plan):
            finding = _find(smaller, kind)
            if finding is not None:
                plan = dataclasses.replace(smaller, end_ms=finding.at_ms)
                is_smaller = True
                break
    return plan


def _find(plan: plans.Plan, kind: str) -> histories.Finding | None:
    """Return the first finding of a kind, or None."""
    return next(
        (each for each in histories.play(plan) if each.kind == kind), None
    )


def _list_smaller(plan: plans.Plan) -> abc.Iterator[plans.Plan]:
    for field in ('submissions', 'disruptions'):
        items = getattr(plan, field)
        size = len(items)
        while size:
            for start in range(0, len(items), size):
                rest = items[:start] + items[start + size :]
                yield dataclasses.replace(plan, **{field: rest})
            size //= 2
    used = {
        target_id
        for disruption in plan.disruptions
        for target_id in disruption.target_ids
    }
    for target in plan.targets:
        if target.target_id not in used:
            rest = tuple(each for each in plan.targets if each != target)
            yield dataclasses.replace(plan, targets=rest)


def main() -> int:
    """Play seeds; return 1 if any has a violation."""
    parser = argparse.ArgumentParser(prog='python -m tests.lasting.search')
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=100)
    parser.add_argument(
        '--shrink', action='store_true', help='print the smallest histories'
    )
    options = parser.parse_args()
    kinds: collections.Counter[str] = collections.Counter()
    seeds: dict[str, list[int]] = {}
    for seed in range(options.first, options.first + options.seeds):
        plan = planner.make_plan(seed)
        for finding in histories.play(plan):
            kinds[finding.kind] += 1
            if seed not in seeds.setdefault(finding.kind, []):
                seeds[finding.kind].append(seed)
            if options.shrink and kinds[finding.kind] == 1:
                _print_smallest(plan, finding.kind)
            else:
                print(*finding.describe(plan), sep='\n', flush=True)
    print(f'{options.seeds} seeds, {kinds.total()} violations')
    for kind, count in kinds.most_common():
        print(f'{count:6} {kind}; seeds {seeds[kind]}')
    return 1 if kinds else 0


def _print_smallest(plan: plans.Plan, kind: str) -> None:
    smallest = shrink(plan, kind)
    print(f'smallest history of: {kind}')
    for target in smallest.targets:
        print(f'  {target}')
    for submission in smallest.submissions:
        print(f'  {submission}')
    finding = _find(smallest, kind)
    if finding is not None:
        print(*finding.describe(smallest), sep='\n', flush=True)


if __name__ == '__main__':
    sys.exit(main())
