"""The burn report as text, as data, and as an HTML page with plots."""

from almondspan.answers import Alert, Burn, Service
from almondspan.client import AdminClient, NoAnswer, Refused
from almondspan.exit_codes import ExitCode
from almondspan.files import write_text
from almondspan.results import Result, failure
from almondspan.tables import format_duration, format_share, format_table
from almondspan.texts import (
    BURN_ALERT_HEADERS,
    BURN_NO_SERVICE,
    BURN_PAGE_WRITTEN,
    BURN_WINDOW_HEADERS,
    NO_PLOTS,
)

__all__ = ["report_burn"]

MAX_SHOWN_PAIRS = 5


async def report_burn(client: AdminClient, html: str) -> Result:
    """Report how fast each service consumes its error budget.

    If `html` is a path, an HTML page is also written there.
    """
    response = await client.get("/v1/burn", Burn)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    lines: list[str] = []
    for service in response.services:
        lines += [*_service_lines(service), ""]
    if not lines:
        lines = [BURN_NO_SERVICE]
    if html:
        error = _write_page(html, response)
        if error is not None:
            return error
        lines.append(BURN_PAGE_WRITTEN.format(file=html))
    is_ok = not any(_needs_attention(item) for item in response.services)
    code = ExitCode.DONE if is_ok else ExitCode.ATTENTION
    return Result(code, "\n".join(lines).rstrip("\n"), response)


def _needs_attention(service: Service) -> bool:
    return service.n_missing > 0 or any(alert.firing for alert in service.alerts)


def _write_page(path: str, burn: Burn) -> Result | None:
    try:
        # Imported on demand: matplotlib is large, optional and used only here.
        from almondspan.burn_page import burn_page
    except ImportError as error:
        data = {"error": {"kind": "usage", "reason": str(error)}}
        return Result(ExitCode.USAGE, NO_PLOTS.format(error=error), data)
    return write_text(path, burn_page(burn))


def _service_lines(service: Service) -> list[str]:
    firing = [alert for alert in service.alerts if alert.firing]
    alerts = ", ".join(sorted({alert.severity for alert in firing})) or "none"
    lines = [
        f"{service.service}: {format_share(service.objective_share)} of the calls "
        f"within {service.objective_latency_ms:g} ms; alerts: {alerts}",
        f"  p50 {service.p50_ms:.1f} ms, p99 {service.p99_ms:.1f} ms, "
        f"p99.9 {service.p999_ms:.1f} ms; "
        f"budget spent {format_share(service.budget_spent_share)}",
    ]
    lines += _indented(_window_table(service))
    lines += _indented(_alert_table(service.alerts))
    pairs = ", ".join(
        f"{pair.task_class} {pair.slowdown:.2f} times "
        f"({pair.n_observations} observations)"
        for pair in service.pairs[:MAX_SHOWN_PAIRS]
    )
    return [
        *lines,
        f"  colocation: {service.n_throttles} throttles, "
        f"{service.n_checkpoints} checkpoints, {service.n_evictions} evictions",
        f"  slowed most by: {pairs or 'no data'}",
        f"  statistics of {service.n_reporting} processes, {service.n_missing} missing",
    ]


def _window_table(service: Service) -> str:
    if not service.windows:
        return ""
    rows = [
        (
            format_duration(window.window_s),
            f"{window.burn_rate:.2f}" if window.n_calls else "-",
            window.n_calls,
            window.n_missed,
        )
        for window in service.windows
    ]
    return format_table(BURN_WINDOW_HEADERS, rows)


def _alert_table(alerts: tuple[Alert, ...]) -> str:
    if not alerts:
        return ""
    rows = [
        (
            alert.severity,
            f"{format_duration(alert.short_s)} and {format_duration(alert.long_s)}",
            f"{alert.threshold:g}",
            f"{alert.short_burn_rate:.2f} and {alert.long_burn_rate:.2f}",
            "FIRING" if alert.firing else "quiet",
        )
        for alert in alerts
    ]
    return format_table(BURN_ALERT_HEADERS, rows)


def _indented(text: str) -> list[str]:
    return [f"    {line}" for line in text.splitlines()]
