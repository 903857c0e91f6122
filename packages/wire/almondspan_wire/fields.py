"""Types of fields whose range is checked when a message or a record is decoded.

Another writer may have made what is decoded. A value out of range is refused with the
whole message or record, so that no later use of it can fail.
"""

from typing import Annotated

import msgspec

__all__ = ["Host", "OptionalHost", "OptionalPort", "Port"]

Host = Annotated[str, msgspec.Meta(max_length=253, pattern=r"\A[!-~]+\Z")]
"""The host of an address: printable ASCII without spaces."""

OptionalHost = Annotated[str, msgspec.Meta(max_length=253, pattern=r"\A[!-~]*\Z")]
"""A host, or empty for none."""

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
"""The port of an address."""

OptionalPort = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
"""A port, or 0 for none."""
