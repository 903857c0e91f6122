"""The burn report as text, as data and as an HTML page."""

import pytest

from almondspan.answers import Alert, Burn, Latency, Pair, Service, Window
from almondspan.burn_commands import _service_lines
from almondspan.burn_page import burn_page
from almondspan.tables import format_duration

SERVICE = Service(
    service="clips",
    objective_latency_ms=100.0,
    objective_share=0.99,
    p50_ms=12.0,
    p99_ms=180.0,
    p999_ms=420.0,
    budget_spent_share=1.4,
    windows=(Window(5.0, 20.0, 100, 20), Window(3600.0, 15.0, 5000, 750)),
    alerts=(Alert("page", 300.0, 3600.0, 14.4, 20.0, 15.0, True),),
    latencies=(Latency(10.0, 80), Latency(180.0, 20)),
    n_throttles=4,
    n_evictions=1,
    pairs=(Pair("<align>", 1.8, 40),),
    n_reporting=9,
    n_missing=1,
)


@pytest.mark.parametrize(
    "text",
    [
        "clips: 99.0% of the calls within 100 ms; alerts: page",
        "p99.9 420.0 ms; budget spent 140.0%",
        "1 h     15.00   5000     750",
        "page   5 min and 1 h       14.4  20.00 and 15.00  FIRING",
        "<align> 1.80 times (40 observations)",
        "4 throttles, 0 checkpoints, 1 evictions",
        "statistics of 9 processes, 1 missing",
    ],
)
def test_text_report(text):
    assert text in "\n".join(_service_lines(SERVICE))


def test_page_is_self_contained_and_reproducible():
    page = burn_page(Burn((SERVICE,)))
    assert page == burn_page(Burn((SERVICE,)))
    assert page.count("<svg") == page.count("</svg>") == 1
    assert "&lt;align&gt;" in page
    assert "<align>" not in page
    assert "class=firing" in page
    assert 'src="http' not in page
    assert "<link" not in page


def test_page_without_statistics():
    empty = Service("clips", 100.0, 0.99, 0.0, 0.0, 0.0, n_missing=3)
    assert "3 missing" in burn_page(Burn((empty,)))
    assert "No service" in burn_page(Burn(()))


@pytest.mark.parametrize(
    ("seconds", "text"),
    [
        (0.5, "0.5 s"),
        (59, "59 s"),
        (60, "1 min"),
        (61, "1 min 1 s"),
        (3600, "1 h"),
        (7500, "2 h 5 min"),
        (86_400, "1 d"),
        (90_000, "1 d 1 h"),
    ],
)
def test_duration(seconds, text):
    assert format_duration(seconds) == text


def test_page_is_written(serve, tmp_path):
    with serve() as fleet:
        ended = fleet.run("report", "burn", "--html", str(tmp_path / "burn.html"))
        missing_folder = fleet.run(
            "report", "burn", "--html", str(tmp_path / "no" / "x.html")
        )
    assert ended.code == 0, ended.err
    assert (tmp_path / "burn.html").read_text().startswith("<!doctype html>")
    assert (missing_folder.code, "x.html" in missing_folder.err) == (2, True)
