"""Format the measures of benchmark runs as a table, JSON or plots."""

import json
from pathlib import Path

import attrs

from sesameport.bench.measures import Measures

__all__ = ["format_json", "format_table", "write_plots"]

_COLUMNS = (
    ("deployment", "deployment", "{}"),
    ("case", "fault", "{}"),
    ("router", "router", "{}"),
    ("goodput", "goodput_share", "{:.3f}"),
    ("allowed", "allowed_share", "{:.3f}"),
    ("wasted", "wasted_prefill_share", "{:.4f}"),
    ("worst", "worst_workspace", "{:.3f}"),
    ("refused", "wrongful_refusals", "{:.4f}"),
    ("holds", "holds_left", "{}"),
    ("twice", "run_twice", "{}"),
    ("urgent p95 s", "urgent_p95_first_token_s", "{:.2f}"),
    ("patient p95 s", "patient_p95_first_token_s", "{:.2f}"),
    ("busy/req", "busy_answers_per_request", "{:.2f}"),
    ("requests", "requests", "{}"),
)


def format_table(results: list[Measures]) -> str:
    """Return the results as a text table with one row per run."""
    rows = [[title for title, _, _ in _COLUMNS]]
    for result in results:
        rows.append(
            [template.format(getattr(result, name)) for _, name, template in _COLUMNS]
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(_COLUMNS))]
    lines = []
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_json(results: list[Measures]) -> str:
    """Return the results as a JSON list."""
    return json.dumps([attrs.asdict(result) for result in results], indent=1)


def write_plots(results: list[Measures], directory: str) -> list[str]:
    """Write one PNG file per deployment and return the paths.

    Raises
    ------
    ImportError
        If matplotlib, an optional dependency, is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    paths = []
    measures = ("goodput_share", "worst_workspace", "wasted_prefill_share")
    for deployment in dict.fromkeys(result.deployment for result in results):
        deployment_results = [
            result for result in results if result.deployment == deployment
        ]
        cases = list(dict.fromkeys(result.fault for result in deployment_results))
        routers = list(dict.fromkeys(result.router for result in deployment_results))
        figure, axes = pyplot.subplots(1, len(measures), figsize=(12, 4))
        for axis, name in zip(axes, measures, strict=True):
            for i, router in enumerate(routers):
                values = {
                    m.fault: getattr(m, name)
                    for m in deployment_results
                    if m.router == router
                }
                width = 0.8 / len(routers)
                positions = [k + i * width for k in range(len(cases))]
                heights = [values.get(case, 0.0) for case in cases]
                axis.bar(positions, heights, width, label=router)
            axis.set_xticks(range(len(cases)), cases, rotation=30)
            axis.set_title(name)
        axes[0].legend()
        figure.suptitle(deployment)
        figure.tight_layout()
        path = Path(directory) / f"{deployment}.png"
        figure.savefig(path)
        pyplot.close(figure)
        paths.append(str(path))
    return paths
