"""Draw the plots of the service-level report.

matplotlib belongs to the optional dependency group ``plots``. Only this module imports
it, and only when it draws a plot.
"""

import io

from sesameport.telemetry.objectives import ServiceReport, burn_rate

__all__ = ["render_plots", "make_figures"]

_WIDTH_INCHES = 8.0
_BLUE, _RED, _GREY = "#1f5f99", "#b3261e", "#888888"
_MAX_BARS = 15
_BUCKET_HOURS = 1 / 6


def render_plots(
    service: ServiceReport, image_format: str = "svg"
) -> list[str | bytes]:
    """Return the plots of a service as SVG text or as bytes of another format.

    Raises
    ------
    ImportError
        If matplotlib is not installed.
    """
    images: list[str | bytes] = []
    for figure in make_figures(service):
        if image_format != "svg":
            buffer = io.BytesIO()
            figure.savefig(buffer, format=image_format)
            images.append(buffer.getvalue())
            continue
        text = io.StringIO()
        # A date in the SVG would make every page differ, even for the same data.
        figure.savefig(text, format="svg", metadata={"Date": None})
        svg = text.getvalue()
        images.append(svg[svg.index("<svg") :])
    return images


def make_figures(service: ServiceReport) -> list:
    """Return the plots of a service as matplotlib figures."""
    figures = [_draw_series(service)]
    if service.workspaces:
        figures.append(_draw_workspaces(service))
    return figures


def _new_figure(height_inches: float, columns: int = 1):
    import matplotlib
    from matplotlib.figure import Figure

    # Text is written as text instead of paths, so that the page can be searched. The
    # fixed salt gives the SVG the same element ids in every run.
    matplotlib.rcParams["svg.fonttype"] = "none"
    matplotlib.rcParams["svg.hashsalt"] = "sesameport"
    figure = Figure(figsize=(_WIDTH_INCHES, height_inches), layout="constrained")
    axes = figure.subplots(1, columns)
    for plot_axes in axes if columns > 1 else [axes]:
        plot_axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _draw_series(service: ServiceReport):
    figure, (left, right) = _new_figure(2.8, columns=2)
    hours, good, rates = [], [], []
    for i, counts in enumerate(service.series):
        if not counts.eligible:
            continue
        hours.append(-i * _BUCKET_HOURS)
        good.append(100 * counts.good / counts.eligible)
        rates.append(burn_rate(counts.eligible, counts.good, service.objective))
    left.plot(hours, good, color=_BLUE, marker=".", markersize=4)
    left.axhline(100 * service.objective, color=_GREY, linestyle="--", linewidth=1)
    left.set_title("Good requests, %", loc="left", fontsize=10)
    left.set_ylim(min([*good, 100 * service.objective]) - 3, 101)
    right.plot(hours, rates, color=_RED, marker=".", markersize=4)
    right.axhline(1, color=_GREY, linestyle="--", linewidth=1)
    right.set_title("Burn rate (1 spends the budget in 30 d)", loc="left", fontsize=10)
    right.set_ylim(0, max([*rates, 1.0]) * 1.15)
    for axes in (left, right):
        axes.set_xlim(-6, 0.1)
        axes.set_xlabel("hours before now")
    return figure


def _draw_workspaces(service: ServiceReport):
    shown = [report for report in service.workspaces if report.fair_share is not None]
    shown = shown[:_MAX_BARS][::-1]
    figure, axes = _new_figure(0.9 + 0.3 * max(2, len(shown)))
    shares = [report.fair_share for report in shown]
    names = [report.name or "(open routes)" for report in shown]
    # The target for the worst-served workspace is 0.9 of its fair share.
    colours = [_RED if share < 0.9 else _BLUE for share in shares]
    bars = axes.barh(names, shares, color=colours, height=0.6)
    axes.bar_label(bars, fmt="%.2f", padding=3, fontsize=9)
    axes.axvline(0.9, color=_GREY, linestyle="--", linewidth=1)
    axes.set_xlim(0, max([*shares, 1.0]) * 1.1)
    axes.set_title(
        f"Tokens served over fair share, last {service.window} (target 0.9)",
        loc="left",
        fontsize=10,
    )
    return figure
