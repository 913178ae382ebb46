#!/usr/bin/env python3
"""Fits lines to google benchmark results and prints them as a table.

    build/control-bench --benchmark_repetitions=5 --benchmark_format=json > control.json
    scripts/fit-slopes.py control.json

Each figure of a benchmark is the median over its repetitions, fitted against the first argument by least squares.
`deviation` is the largest distance of a point from the line, relative to the largest point. `spread` is the largest
difference of two repetitions at one size, relative to their median.
"""

import collections
import json
import statistics
import sys

IGNORED = {"family_index", "per_family_instance_index", "repetitions", "repetition_index", "threads", "iterations",
           "real_time", "items_per_second", "rounds"}
NANOSECONDS = {"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9}


def read(path):
    """Returns the repetitions by benchmark, figure and size."""
    points = collections.defaultdict(lambda: collections.defaultdict(list))
    with open(path, encoding="utf-8") as file:
        runs = json.load(file)["benchmarks"]
    for run in runs:
        if run["run_type"] != "iteration":
            continue
        name, size, *rest = run["run_name"].split("/")
        name = "/".join([name] + [part for part in rest if part.isdigit()])
        for figure, value in run.items():
            if figure in IGNORED or not isinstance(value, (int, float)):
                continue
            if figure == "cpu_time":
                figure, value = "cpu_ns", value * NANOSECONDS[run["time_unit"]]
            points[name, figure][int(size)].append(value)
    return points


def fit(sizes, values):
    mean_x, mean_y = statistics.mean(sizes), statistics.mean(values)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values)) / sum((x - mean_x) ** 2 for x in sizes)
    return mean_y - slope * mean_x, slope


def main():
    print("benchmark figure intercept slope deviation spread points")
    for path in sys.argv[1:]:
        for (name, figure), by_size in read(path).items():
            if len(by_size) < 3:
                continue
            sizes = sorted(by_size)
            values = [statistics.median(by_size[size]) for size in sizes]
            intercept, slope = fit(sizes, values)
            largest = max(map(abs, values)) or 1
            deviation = max(abs(y - intercept - slope * x) for x, y in zip(sizes, values)) / largest
            spread = max((max(v) - min(v)) / (abs(statistics.median(v)) or 1) for v in by_size.values())
            print(f"{name} {figure} {intercept:.4g} {slope:.4g} {deviation:.1%} {spread:.0%} "
                  + " ".join(f"{x}:{y:.4g}" for x, y in zip(sizes, values)))


if __name__ == "__main__":
    main()
