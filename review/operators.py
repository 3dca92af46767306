"""Two operators, who change one large configuration by turns."""

from __future__ import annotations

import asyncio
import json
import time

from lab import Document, Lab

# The idle routes of a site, and those of two times big_config.
IDLE_ROUTES = 300 + 2 * 350
# The shortest time between two changes of a config_storm.
GAP_S = 0.15
ACK_TIMEOUT_S = 10.0


class Operators:
    """Sends one change after another, each in the text form of the operator whose turn it is.

    The forms are widths of indentation; None stands for no indentation.
    """

    def __init__(
        self, lab: Lab, *, timeout_s: float, goal_s: float, forms: tuple[int | None, int | None]
    ) -> None:
        self._lab, self._timeout_s, self._goal_s, self._forms = lab, timeout_s, goal_s, forms
        self.acknowledged = lab.version
        self._texts: dict[int, str] = {}

    async def change(self) -> bool:
        """Change the timeout of one route; return whether that was acknowledged."""
        lab = self._lab
        began_at = time.monotonic()
        document = lab.document(lab.version + 1, lab.version, self._timeout_s, self._goal_s)
        _add_idle_routes(document, self._timeout_s, self._goal_s)
        action = document["listeners"][0]["route_rules"][0]["action"]
        action["timeout_s"] = self._timeout_s + lab.version % 7
        form = self._forms[lab.version % 2]
        text = json.dumps(document, indent=form, sort_keys=form == self._forms[1])
        if await lab.order(document, ACK_TIMEOUT_S, text) != 200:
            return False
        lab.version += 1
        self.acknowledged = lab.version
        await asyncio.sleep(max(0.0, began_at + GAP_S - time.monotonic()))
        return True


def _add_idle_routes(document: Document, timeout_s: float, goal_s: float) -> None:
    """Add routes that nobody uses, as a configuration that has grown has them."""
    service = document["clusters"][0]["name"]
    rules = [
        {
            "name": f"r-idle-{number}",
            "type": "idempotent",
            "target_latency_s": goal_s,
            "priority": 2,
            "match": {"path_prefix": f"/idle{number}/"},
            "action": {"service": service, "timeout_s": timeout_s, "attempts": 2},
        }
        for number in range(IDLE_ROUTES)
    ]
    document["listeners"].append({"host": "idle.example", "route_rules": rules})
