"""Job ids of the records of hand-back orders."""

import re
from typing import Final

from almondspan_decisions.ids import JobId, OrderName

__all__ = ["RECORD_PATTERN", "RECORD_RULE", "record_job_id"]

RECORD_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]{0,119}")
RECORD_RULE: Final = (
    "1 to 120 of letters, digits, '.', '_', ':', '@', '/', '-', "
    "beginning with a letter or digit"
)


def record_job_id(order_name: OrderName, record_name: str) -> JobId:
    """Return the only job id under which a record of an order may be submitted.

    Submitting a record again therefore refers to the same job. An order's name has no
    slash, so two records never share an id.
    """
    return JobId(f"{order_name}/{record_name}")
