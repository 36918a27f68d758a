"""Measures the decisions on calls under a simulated clock.

Usage: ``python -m bench.calls [--seed N] [--only NAME]``. Prints a table for
each question, and the stated goals beside the measured figures. Runs with the
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
VersionRunner = Callable[[calls_model.Scenario, int], calls_model.Tally]
VERSION_RUNNERS: dict[str, VersionRunner] = {
    'borageshelf': calls_versions.run_pools,
    'naive': calls_versions.run_naive,
    'ideal': calls_versions.run_ideal,
}
GUARANTEED_SHARE = 0.2


def compute_percentiles_ms(
    tally: calls_model.Tally, kind: str = ''
) -> tuple[float, float, float]:
    """Return p50, p99 and p99.9 of the answered calls in milliseconds.

    :param kind: kind of the calls, or '' for all
    """
    latencies_us = histogram.HdrHistogram(1, 3_600_000_000, 3)
    for name, latencies_ms in tally.latencies_ms.items():
        for latency_ms in latencies_ms:
            if kind in ('', name):
                latencies_us.record_value(max(int(latency_ms * 1000), 1))
    p50, p99, p999 = (
        latencies_us.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    )
    return p50, p99, p999


def compute_goodput_share(
    tally: calls_model.Tally, scenario: calls_model.Scenario
) -> float:
    """Return the rate of timely answers as a share of the capacity."""
    measured_s = (scenario.duration_ms - scenario.warm_up_ms) / 1000
    in_time = sum(tally.in_time.values())
    return in_time / measured_s / calls_model.CAPACITY_PER_S


def print_row(
    label: str, tally: calls_model.Tally, scenario: calls_model.Scenario
) -> None:
    """Print one row of a table."""
    p50, p99, p999 = compute_percentiles_ms(tally)
    share = compute_goodput_share(tally, scenario)
    print(
        f'| {label} | {p50:.0f} | {p99:.0f} | {p999:.0f} | {share:.3f} '
        f'| {tally.refused} | {tally.late} | {tally.failed} '
        f'| {tally.retries} | {tally.hedges} |',
        flush=True,
    )


def print_table_header(title: str) -> None:
    """Print the title and the header of a table."""
    print(f'\n{title}\n')
    print(
        '| case | p50 ms | p99 ms | p99.9 ms | goodput | refused | late '
        '| failed | retries | hedges |'
    )
    print('|---|---|---|---|---|---|---|---|---|---|')


def make_single_kind_scenario(load: float) -> calls_model.Scenario:
    """Return a scenario without faults and with one kind of calls."""
    return calls_model.Scenario((calls_model.Kind('calls', load),))


def measure_loads(seed: int) -> list[str]:
    """Measure all versions at each load; return the rows of goals."""
    print_table_header('Load')
    goodput = {}
    p99_ms = {}
    for load in LOADS:
        scenario = make_single_kind_scenario(load)
        for name, run in VERSION_RUNNERS.items():
            tally = run(scenario, seed)
            print_row(f'{load:.0%} {name}', tally, scenario)
            goodput[name, load] = compute_goodput_share(tally, scenario)
            p99_ms[name, load] = compute_percentiles_ms(tally)[1]
    for load in (0.8, 3.0):
        scenario = dataclasses.replace(
            make_single_kind_scenario(load), entry_count=1
        )
        tally = calls_versions.run_pools(scenario, seed)
        print_row(f'{load:.0%} through one entry of three', tally, scenario)
    ratio = p99_ms['borageshelf', 0.8] / p99_ms['ideal', 0.8]
    peak = max(goodput['borageshelf', load] for load in LOADS)
    goodput_ratio = goodput['borageshelf', 3.0] / peak
    return [
        format_goal('p99 at 80% load / ideal', ratio, 1.5, ratio <= 1.5),
        format_goal(
            'goodput at 300% / peak',
            goodput_ratio,
            0.95,
            goodput_ratio >= 0.95,
        ),
    ]


def measure_faults(seed: int) -> list[str]:
    """Measure slow, failing and leaving executors; return rows of goals."""
    print_table_header('Faults')
    goals = []
    for load in (0.5, 0.8):
        scenario_without_fault = make_single_kind_scenario(load)
        tally_without_fault = calls_versions.run_pools(
            scenario_without_fault, seed
        )
        print_row(
            f'{load:.0%} no fault', tally_without_fault, scenario_without_fault
        )
        for label, scenario in (
            (
                'one slow',
                dataclasses.replace(scenario_without_fault, slow_executors=1),
            ),
            (
                'one failing fast',
                dataclasses.replace(
                    scenario_without_fault, failing_executors=1
                ),
            ),
            (
                'a third leaving',
                dataclasses.replace(
                    scenario_without_fault, leaving_executors=3
                ),
            ),
        ):
            for name in ('borageshelf', 'naive'):
                tally = VERSION_RUNNERS[name](scenario, seed)
                print_row(f'{load:.0%} {label} {name}', tally, scenario)
                if name == 'naive' or label != 'one slow':
                    continue
                ratio = (
                    compute_percentiles_ms(tally)[1]
                    / compute_percentiles_ms(tally_without_fault)[1]
                )
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
    """Measure the capacity that the other kind keeps during a surge.

    Returns the rows of goals.
    """
    print_table_header('Surges (kind shares 0.2 each; team share 0.2)')
    goals = []
    for label, urgencies in (
        ('least urgent', (0, 9)),
        ('most urgent', (9, 0)),
    ):
        for by_team in (False, True):
            surge_kind = calls_model.Kind('surge', 2.7, urgencies[0], 'one')
            other_kind = calls_model.Kind('other', 0.3, urgencies[1], 'two')
            kinds = (('surge', GUARANTEED_SHARE), ('other', GUARANTEED_SHARE))
            teams = (('two', GUARANTEED_SHARE),)
            scenario = calls_model.Scenario(
                (surge_kind, other_kind),
                kind_shares=() if by_team else kinds,
                team_shares=teams if by_team else (),
            )
            group = 'team' if by_team else 'kind'
            # The naive version ignores shares, so it is run by kind only.
            for name in (
                ('borageshelf',) if by_team else tuple(VERSION_RUNNERS)[:2]
            ):
                tally = VERSION_RUNNERS[name](scenario, seed)
                print_row(f'{label} {name}, by {group}', tally, scenario)
                p99_ms = compute_percentiles_ms(tally, 'other')[1]
                print(f'| ... only the other {group} | | {p99_ms:.0f} |')
                measured_s = (
                    scenario.duration_ms - scenario.warm_up_ms
                ) / 1000
                in_time = tally.in_time.get('other', 0) / measured_s
                share = in_time / calls_model.CAPACITY_PER_S
                text = f'other {group} in a surge of the {label}, {name}'
                goals.append(
                    format_goal(
                        text,
                        share,
                        GUARANTEED_SHARE,
                        share >= GUARANTEED_SHARE * 0.95,
                    )
                )
    return goals


def format_goal(
    text: str, reached: float, stated: float, is_reached: bool
) -> str:
    """Return one row of the table of goals."""
    verdict = 'yes' if is_reached else 'no'
    return f'| {text} | {reached:.3f} | {stated} | {verdict} |'


MEASUREMENTS = {
    'loads': measure_loads,
    'faults': measure_faults,
    'surges': measure_surges,
}


def main() -> int:
    """Run the selected measurements and print the table of goals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=sorted(MEASUREMENTS))
    arguments = parser.parse_args()
    print(f'seed {arguments.seed}')
    started_s = time.monotonic()
    goals = []
    for name, measure in MEASUREMENTS.items():
        if arguments.only in (None, name):
            goals += measure(arguments.seed)
    print('\n| goal | reached | stated | held |\n|---|---|---|---|')
    print('\n'.join(goals))
    print(f'\nreal time {time.monotonic() - started_s:.0f} s')
    return 0


if __name__ == '__main__':
    sys.exit(main())
