"""Measurement of the call decisions under a simulated clock.

Usage: ``python -m bench.calls [--seed N] [--only NAME]``. Prints one table
per question and the stated goals with the figures reached. Runs with the
same seed give the same figures.
"""

import argparse
from collections.abc import Callable
import dataclasses
import sys
import time

from hdrh import histogram

from bench import calls_model
from bench import calls_versions

LOADS = (0.5, 0.8, 1.0, 1.5, 3.0)
Run = Callable[[calls_model.Scenario, int], calls_model.Tally]
VERSIONS: dict[str, Run] = {
    'borageshelf': calls_versions.run_pools,
    'naive': calls_versions.run_naive,
    'ideal': calls_versions.run_ideal,
}
SHARE = 0.2


def find_percentiles(
    tally: calls_model.Tally, kind: str = ''
) -> tuple[float, float, float]:
    """Return p50, p99 and p99.9 of the answered calls in milliseconds.

    :param kind: kind of the calls, or '' for all
    """
    values = histogram.HdrHistogram(1, 3_600_000_000, 3)
    for name, latencies_ms in tally.latencies_ms.items():
        for latency_ms in latencies_ms:
            if kind in ('', name):
                values.record_value(max(int(latency_ms * 1000), 1))
    p50, p99, p999 = (
        values.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    )
    return p50, p99, p999


def find_goodput(
    tally: calls_model.Tally, scenario: calls_model.Scenario
) -> float:
    """Return answers within the deadline as a share of the capacity."""
    measured_s = (scenario.duration_ms - scenario.warm_ms) / 1000
    good = sum(tally.good.values())
    return good / measured_s / calls_model.CAPACITY_PER_S


def print_row(
    label: str, tally: calls_model.Tally, scenario: calls_model.Scenario
) -> None:
    """Print one row of a table."""
    p50, p99, p999 = find_percentiles(tally)
    share = find_goodput(tally, scenario)
    print(
        f'| {label} | {p50:.0f} | {p99:.0f} | {p999:.0f} | {share:.3f} '
        f'| {tally.refused} | {tally.late} | {tally.failed} '
        f'| {tally.retries} | {tally.hedges} |',
        flush=True,
    )


def print_head(title: str) -> None:
    """Print the head of a table."""
    print(f'\n{title}\n')
    print(
        '| case | p50 ms | p99 ms | p99.9 ms | goodput | refused | late '
        '| failed | retries | hedges |'
    )
    print('|---|---|---|---|---|---|---|---|---|---|')


def make_plain(load: float) -> calls_model.Scenario:
    """Return a scenario with one kind of work."""
    return calls_model.Scenario((calls_model.Kind('calls', load),))


def measure_loads(seed: int) -> list[str]:
    """Measure all versions over the loads."""
    print_head('Load')
    goodput = {}
    p99_ms = {}
    for load in LOADS:
        scenario = make_plain(load)
        for name, run in VERSIONS.items():
            tally = run(scenario, seed)
            print_row(f'{load:.0%} {name}', tally, scenario)
            goodput[name, load] = find_goodput(tally, scenario)
            p99_ms[name, load] = find_percentiles(tally)[1]
    for load in (0.8, 3.0):
        scenario = dataclasses.replace(make_plain(load), entries=1)
        tally = calls_versions.run_pools(scenario, seed)
        print_row(f'{load:.0%} through one entry of three', tally, scenario)
    ratio = p99_ms['borageshelf', 0.8] / p99_ms['ideal', 0.8]
    peak = max(goodput['borageshelf', load] for load in LOADS)
    kept = goodput['borageshelf', 3.0] / peak
    return [
        format_goal('p99 at 80% load / ideal', ratio, 1.5, ratio <= 1.5),
        format_goal('goodput at 300% / peak', kept, 0.95, kept >= 0.95),
    ]


def measure_faults(seed: int) -> list[str]:
    """Measure slow, failing and leaving executors."""
    print_head('Faults')
    goals = []
    for load in (0.5, 0.8):
        plain = make_plain(load)
        base = calls_versions.run_pools(plain, seed)
        print_row(f'{load:.0%} no fault', base, plain)
        for label, scenario in (
            ('one slow', dataclasses.replace(plain, slow=1)),
            ('one failing fast', dataclasses.replace(plain, failing=1)),
            ('a third leaving', dataclasses.replace(plain, leaving=3)),
        ):
            for name in ('borageshelf', 'naive'):
                tally = VERSIONS[name](scenario, seed)
                print_row(f'{load:.0%} {label} {name}', tally, scenario)
                if name == 'naive' or label != 'one slow':
                    continue
                ratio = find_percentiles(tally)[1] / find_percentiles(base)[1]
                goals.append(
                    format_goal(
                        f'p99 with one slow executor at {load:.0%} / without',
                        ratio,
                        1.3,
                        ratio <= 1.3,
                    )
                )
    return goals


def measure_surges(seed: int) -> list[str]:
    """Measure the share that the other kind keeps in a surge."""
    print_head('Surges (kind shares 0.2 each; team share 0.2)')
    goals = []
    for label, urgencies in (
        ('least urgent', (0, 9)),
        ('most urgent', (9, 0)),
    ):
        for by_team in (False, True):
            surge = calls_model.Kind('surge', 2.7, urgencies[0], 'one')
            other = calls_model.Kind('other', 0.3, urgencies[1], 'two')
            kinds = (('surge', SHARE), ('other', SHARE))
            teams = (('two', SHARE),)
            scenario = calls_model.Scenario(
                (surge, other),
                kind_shares=() if by_team else kinds,
                team_shares=teams if by_team else (),
            )
            group = 'team' if by_team else 'kind'
            # The naive version knows no shares, so one run is enough.
            for name in ('borageshelf',) if by_team else tuple(VERSIONS)[:2]:
                tally = VERSIONS[name](scenario, seed)
                print_row(f'{label} {name}, by {group}', tally, scenario)
                p99_ms = find_percentiles(tally, 'other')[1]
                print(f'| ... only the other {group} | | {p99_ms:.0f} |')
                measured_s = (scenario.duration_ms - scenario.warm_ms) / 1000
                good = tally.good.get('other', 0) / measured_s
                share = good / calls_model.CAPACITY_PER_S
                text = f'other {group} in a surge of the {label}, {name}'
                goals.append(
                    format_goal(text, share, SHARE, share >= SHARE * 0.95)
                )
    return goals


def format_goal(
    text: str, reached: float, stated: float, is_reached: bool
) -> str:
    """Return one row of the table of goals."""
    verdict = 'yes' if is_reached else 'no'
    return f'| {text} | {reached:.3f} | {stated} | {verdict} |'


PARTS = {
    'loads': measure_loads,
    'faults': measure_faults,
    'surges': measure_surges,
}


def main() -> int:
    """Run the parts and print the goals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=sorted(PARTS))
    arguments = parser.parse_args()
    print(f'seed {arguments.seed}')
    started_s = time.monotonic()
    goals = []
    for name, measure in PARTS.items():
        if arguments.only in (None, name):
            goals += measure(arguments.seed)
    print('\n| goal | reached | stated | held |\n|---|---|---|---|')
    print('\n'.join(goals))
    print(f'\nreal time {time.monotonic() - started_s:.0f} s')
    return 0


if __name__ == '__main__':
    sys.exit(main())
