"""Types that more than one aggregate uses."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple, NewType

HostName = NewType("HostName", str)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)
ReplicaId = NewType("ReplicaId", str)
Version = NewType("Version", int)
Digest = Annotated[int, "a hash of up to 128 bits over some content"]
Seconds = float

NO_VERSION = Version(0)


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the form that settings and URLs use."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


class Verdict(enum.Enum):
    """Whether a request has run at an upstream."""

    RAN = "ran"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Header(NamedTuple):
    """One HTTP header field."""

    name: str
    value: str


Headers = tuple[Header, ...]
