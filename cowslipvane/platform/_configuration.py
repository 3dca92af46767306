"""Decoding of the platform's configuration into a release and resources."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, NamedTuple

from cowslipvane.catalogue import Key, Release, Service, Spec, TrafficPolicy
from cowslipvane.platform._fields import listed_parts
from cowslipvane.platform._known_fields import unread_in_configuration
from cowslipvane.platform._lost_parts import load_document, lost_parts
from cowslipvane.platform._routes import decode_routes
from cowslipvane.platform._teams import decode_teams
from cowslipvane.platform._values import read_text, read_whole

_VERSION = re.compile(r"[0-9a-fA-F]{8}")
_HEXADECIMAL = 16
# All services share one traffic policy, which holds the limits of the configuration.
_POLICY_KEY = Key("traffic-policy", "limits")


class DecodedConfiguration(NamedTuple):
    """A configuration as a release and resources of the product.

    unread are the parts of its document that should be acted on and aren't, without their values.
    """

    release: Release
    resources: dict[Key, Spec]
    unread: tuple[str, ...]


def decode_configuration(body: bytes) -> DecodedConfiguration:
    """Return the configuration in a body; raise ValueError if it can't be read in full."""
    try:
        document = load_document(body)
        form = document.form
        release = Release(
            number=_parse_version(form["version"]),
            based_on=_parse_version(form["base_version"]),
            document=body.decode("utf-8"),
        )
        entries: list[tuple[Key, Spec]] = [*_services(form), *decode_routes(form)]
        unread = [*unread_in_configuration(form), *lost_parts(document, entries)]
        resources = {_POLICY_KEY: _policy(form), **decode_teams(form), **dict(entries)}
    except (LookupError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        # OverflowError: an infinite number for a whole one, or a number too large for a float.
        raise ValueError(f"the configuration can't be read: {error!r}") from error
    return DecodedConfiguration(release, resources, listed_parts(unread))


def _parse_version(text: Any) -> int:
    """Return the number of a version, which is written in hexadecimal digits."""
    if not isinstance(text, str) or not _VERSION.fullmatch(text):
        raise ValueError(f"found version {text!r:.80}; allowed are 8 hexadecimal digits")
    return int(text, _HEXADECIMAL)


def _policy(form: dict[str, Any]) -> TrafficPolicy:
    """Return the traffic policy that all services share."""
    return TrafficPolicy(max_body_bytes=read_whole(form["limits"]["max_body_bytes"]))


def _services(form: dict[str, Any]) -> Iterator[tuple[Key, Service]]:
    """Yield the services, in the order of the clusters."""
    for cluster in form["clusters"]:
        yield Key("service", read_text(cluster["name"])), Service(traffic_policy=_POLICY_KEY.name)
