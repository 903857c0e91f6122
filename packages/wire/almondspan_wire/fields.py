"""Types of fields whose range is checked when a message or a record is decoded.

Another writer may have made what is decoded. A value out of range is refused with the
whole message or record, so that no later use of it can fail: numbers stay far from
the limits of their encodings, and sums and products of a few of them are finite.
"""

from typing import Annotated

import msgspec

from almondspan_decisions.decoding import MAX_NAME_CHARS, MAX_NUMBER

__all__ = [
    "Count",
    "Host",
    "Measure",
    "Name",
    "Number",
    "OptionalHost",
    "OptionalPort",
    "Port",
]

Host = Annotated[str, msgspec.Meta(max_length=253, pattern=r"\A[!-~]+\Z")]
"""The host of an address: printable ASCII without spaces."""

OptionalHost = Annotated[str, msgspec.Meta(max_length=253, pattern=r"\A[!-~]*\Z")]
"""A host, or empty for none."""

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
"""The port of an address."""

OptionalPort = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
"""A port, or 0 for none."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
"""A name of a few characters."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A whole number from 0."""

Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A whole number."""

Measure = Annotated[float, msgspec.Meta(ge=-float(MAX_NUMBER), le=float(MAX_NUMBER))]
"""A finite number."""
