"""The generated reference pages are up to date with the code."""

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SPEC = importlib.util.spec_from_file_location(
    "reference_pages", ROOT / "misc" / "reference_pages.py"
)
reference_pages = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(reference_pages)


@pytest.mark.parametrize("name", reference_pages.PAGES)
def test_reference_page_is_current(name):
    """If this fails, run ``python misc/reference_pages.py``."""
    assert reference_pages.PAGES[name]() == (ROOT / "docs" / name).read_text()
