"""Types that several packages share."""

from __future__ import annotations

import enum
import ipaddress
import re
from types import MappingProxyType
from typing import Annotated, NamedTuple, NewType

HostName = NewType("HostName", str)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)
ReplicaId = NewType("ReplicaId", str)
TeamName = NewType("TeamName", str)
# The digest of a key of a team, in hexadecimal digits.
KeyDigest = NewType("KeyDigest", str)
Version = NewType("Version", int)
Digest = Annotated[int, "a hash of up to 128 bits over some content"]
Seconds = float

# Metadata of a field of a data class that earlier builds don't know: messages leave it out while it
# has its default.
ADDED_FIELD = MappingProxyType({"added": True})

NO_VERSION = Version(0)
MAX_PORT = 65_535
_INT64_LIMIT = 1 << 63
MIN_INT64, MAX_INT64 = -_INT64_LIMIT, _INT64_LIMIT - 1
_PORT = re.compile(r"[0-9]{1,9}")
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")


def fits_int64(number: int) -> bool:
    """Return whether a whole number fits into 64 bits, as all in messages and journals do."""
    return MIN_INT64 <= number <= MAX_INT64


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: object) -> Address:
        """Return the address in a text IP:PORT; raise ValueError if it is malformed."""
        allowed = "allowed is IP:PORT, such as 127.0.0.1:8080"
        if not isinstance(text, str) or ":" not in text:
            raise ValueError(f"found {text!r:.80}; {allowed}")
        ip, _, port = text.rpartition(":")
        ip = ip.strip("[]")
        try:
            ipaddress.ip_address(ip)
        except ValueError:
            raise ValueError(f"found {text!r:.80}; {allowed}") from None
        # int() takes blanks, signs, underscores and digits of other scripts, too.
        if not _PORT.fullmatch(port):
            raise ValueError(f"found {text!r:.80}; {allowed}")
        number = int(port)
        if not 0 < number <= MAX_PORT:
            raise ValueError(f"found port {number}; allowed is 1 to {MAX_PORT}")
        return cls(ip, number)

    @property
    def is_sound(self) -> bool:
        """Return whether it may be the address of one host; one from elsewhere may be odd."""
        try:
            ip = ipaddress.ip_address(self.ip)
        except ValueError:
            return False
        is_of_one_host = not (ip.is_unspecified or ip.is_multicast or ip == _BROADCAST)
        return is_of_one_host and 0 <= self.port <= MAX_PORT

    def __str__(self) -> str:
        """Return the form IP:PORT that settings and URLs use, with brackets around IPv6."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


class Quota(NamedTuple):
    """How many requests a second a team may send, and how many more at once."""

    rate: float
    burst: float


class Verdict(enum.Enum):
    """Whether a request was run by an upstream."""

    RAN = "ran"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Header(NamedTuple):
    """One HTTP header field."""

    name: str
    value: str


Headers = tuple[Header, ...]
