"""Renders the burn report as a self-contained HTML page.

Each service has tables of its statistics and three plots: the burn rate of each
window with the alert thresholds, the share of calls slower than each latency, and the
task classes that slow the service. Matplotlib draws the plots as SVG, which is
embedded in the page.
"""

import html
import io
from itertools import accumulate
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from almondspan.answers import Burn, Service
from almondspan.tables import format_duration, format_share

__all__ = ["burn_page"]

WIDTH_IN: Final = 12.0
HEIGHT_IN: Final = 3.2
BAR_COLOUR: Final = "#3b6ea5"
LIMIT_COLOUR: Final = "#b3372c"
SVG_ID_SALT: Final = "almondspan"
"""Makes the ids in the SVG, and thus the page, reproducible for the same data."""

_PAGE: Final = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>almondspan: service-level burn</title>
<style>
body {{ font-family: sans-serif; max-width: 75rem; margin: 2rem auto; color: #222; }}
table {{ border-collapse: collapse; margin: 0.5rem 0 1rem; }}
th, td {{ padding: 0.15rem 0.9rem 0.15rem 0; text-align: right; }}
th:first-child, td:first-child {{ text-align: left; }}
th {{ border-bottom: 1px solid #999; font-weight: 600; }}
svg {{ width: 100%; height: auto; }}
.firing {{ color: #b3372c; font-weight: 600; }}
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>A burn of 1 spends the error budget exactly; an alert fires when both of its
windows burn at its threshold or faster.</p>
{sections}
</body>
</html>
"""


def burn_page(burn: Burn) -> str:
    """Return the HTML page."""
    sections = "\n".join(_section(service) for service in burn.services)
    return _PAGE.format(sections=sections or "<p>No service is configured.</p>")


def _section(service: Service) -> str:
    name = html.escape(service.service)
    missing = f", {service.n_missing} missing" if service.n_missing else ""
    return f"""<h2>{name}</h2>
<p>{format_share(service.objective_share)} of the calls within
{service.objective_latency_ms:g} ms; p50 {service.p50_ms:.1f} ms,
p99 {service.p99_ms:.1f} ms, p99.9 {service.p999_ms:.1f} ms;
budget spent {format_share(service.budget_spent_share)}.
Statistics of {service.n_reporting} processes{missing}.
Colocation: {service.n_throttles} throttles, {service.n_checkpoints} checkpoints,
{service.n_evictions} evictions.</p>
{_plots(service)}
{_window_rows(service)}
{_alert_rows(service)}"""


def _window_rows(service: Service) -> str:
    rows = "".join(
        f"<tr><td>{format_duration(window.window_s)}</td><td>{window.burn_rate:.2f}</td>"
        f"<td>{window.n_calls}</td><td>{window.n_missed}</td></tr>"
        for window in service.windows
    )
    head = "<tr><th>window</th><th>burn</th><th>calls</th><th>missed</th></tr>"
    return f"<table>{head}{rows}</table>"


def _alert_rows(service: Service) -> str:
    rows = "".join(
        f"<tr{' class=firing' if alert.firing else ''}>"
        f"<td>{html.escape(alert.severity)}</td>"
        f"<td>{format_duration(alert.short_s)}, {format_duration(alert.long_s)}</td>"
        f"<td>{alert.threshold:g}</td>"
        f"<td>{alert.short_burn_rate:.2f}, {alert.long_burn_rate:.2f}</td>"
        f"<td>{'firing' if alert.firing else 'quiet'}</td></tr>"
        for alert in service.alerts
    )
    head = (
        "<tr><th>alert</th><th>windows</th><th>threshold</th><th>burn</th>"
        "<th>state</th></tr>"
    )
    return f"<table>{head}{rows}</table>"


def _plots(service: Service) -> str:
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN), layout="constrained")
    windows, latencies, pairs = figure.subplots(1, 3)
    _plot_windows(windows, service)
    _plot_latencies(latencies, service)
    _plot_pairs(pairs, service)
    text = io.StringIO()
    with mpl.rc_context({"svg.hashsalt": SVG_ID_SALT, "svg.fonttype": "none"}):
        figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def _plot_windows(axes: Axes, service: Service) -> None:
    labels = [format_duration(window.window_s) for window in service.windows]
    axes.bar(labels, [window.burn_rate for window in service.windows], color=BAR_COLOUR)
    for threshold in sorted({alert.threshold for alert in service.alerts}):
        axes.axhline(threshold, color=LIMIT_COLOUR, linewidth=0.8, linestyle="--")
        axes.annotate(
            f"{threshold:g}",
            (1.0, threshold),
            xycoords=("axes fraction", "data"),
            xytext=(3, 0),
            textcoords="offset points",
            va="center",
            color=LIMIT_COLOUR,
            fontsize="small",
        )
    axes.set_title("Burn by window, alert thresholds dashed", fontsize="medium")
    axes.set_ylabel("burn")
    axes.tick_params(axis="x", labelsize="small")


def _plot_latencies(axes: Axes, service: Service) -> None:
    counts = [bucket.n_calls for bucket in service.latencies]
    total = sum(counts)
    # No call is slower than the last bucket; a logarithmic axis cannot show 0.
    slower = [100 * (1 - seen / total) for seen in accumulate(counts)][:-1]
    if slower:
        times_ms = [bucket.latency_ms for bucket in service.latencies][:-1]
        axes.step(times_ms, slower, where="post", color=BAR_COLOUR)
        axes.set_xscale("log")
        axes.set_yscale("log")
    axes.axvline(service.objective_latency_ms, color=LIMIT_COLOUR, linewidth=0.8)
    axes.axhline(100 * (1 - service.objective_share), color=LIMIT_COLOUR, linewidth=0.8)
    axes.set_title("Calls slower than a latency, objective in red", fontsize="medium")
    axes.set_xlabel("latency (ms)")
    axes.set_ylabel("share of calls (%)")


def _plot_pairs(axes: Axes, service: Service) -> None:
    pairs = list(reversed(service.pairs))
    axes.barh(
        [pair.task_class for pair in pairs],
        [pair.slowdown for pair in pairs],
        color=BAR_COLOUR,
    )
    axes.axvline(1.0, color="#777", linewidth=0.8)
    if not pairs:
        axes.set_yticks([])
        axes.text(0.5, 0.5, "no data", transform=axes.transAxes, ha="center")
    axes.set_title("Slowed by task class", fontsize="medium")
    axes.set_xlabel("latency, times that without the class")
