"""Tests of the details in the event of a refusal."""

import json
import unittest

from cowslipvane.access import key_digest
from cowslipvane.catalogue import (
    Key,
    Resource,
    Route,
    Service,
    Snapshot,
    Target,
    Team,
    combine_digests,
    resource_digest,
)
from cowslipvane.commands import Timeline, build_account
from cowslipvane.events import EventForm
from cowslipvane.types import ServiceName, Version
from tests.callers_case import LOAD, OWNER, CallersTestCase

ROUTE, VERSION = "stock-of-teams", Version(7)
HELD_KEY, OTHER_KEY = "key-of-the-night-shift", "key-of-nobody"


class RefusalEventsTest(CallersTestCase):
    """Tests that a refusal can be explained from its event."""

    async def test_event_has_the_tried_owners_and_the_last_reported_load(self) -> None:
        """The event also has the version that routed the call."""
        self.apply()
        await self.code(**{"X-Request-Id": "r1"})
        (event,) = [form for form in self.events.select(request="r1") if form["kind"] == "refusal"]
        self.assertEqual(event["detail"]["in_force"], str(self.subscription.version))
        self.assertEqual(event["detail"]["tried"], OWNER)
        running, waiting = f"{LOAD.running} running", f"{LOAD.queued} waiting"
        self.assertEqual(event["detail"]["load"], f"{running} and {waiting} for 4 slots")

    async def test_call_that_was_not_routed_has_no_tried_owners(self) -> None:
        """No version of the configuration was in force."""
        await self.code(**{"X-Request-Id": "r1", "X-Request-Timeout-Ms": "10"})
        (event,) = [form for form in self.events.select(request="r1") if form["kind"] == "refusal"]
        self.assertEqual(event["detail"]["in_force"], "0")
        self.assertEqual(event["detail"]["tried"], "")


class KeyRefusalEventsTest(CallersTestCase):
    """Tests that a request that was refused for its key can be explained, without the key."""

    async def asyncSetUp(self) -> None:
        """Put a version in force with a route that needs the key of a team."""
        await super().asyncSetUp()
        targets = (Target(ServiceName("stock")),)
        resources = (
            Resource(Key("service", "stock"), Service(), VERSION),
            Resource(Key("route", ROUTE), Route(targets=targets, access_keys="required"), VERSION),
            Resource(Key("team", "night"), Team(key_digests=(key_digest(HELD_KEY),)), VERSION),
        )
        digest = combine_digests(map(resource_digest, resources))
        self.subscription.raise_floor(VERSION)
        self.subscription.apply_snapshot(Snapshot(VERSION, resources, digest))
        self.assertIsNotNone(self.subscription.table)

    async def refusal(self, request: str, **headers: str) -> EventForm:
        """Send a request that is refused, and return the event of that."""
        await self.code(**{"X-Request-Id": request}, **headers)
        events = list(self.events.select(request=request))
        (event,) = [form for form in events if form["kind"] == "refusal"]
        return event

    async def test_event_has_the_fault_the_route_and_the_version(self) -> None:
        """The account of the request tells them."""
        shown = {
            "key-missing": {},
            "key-unreadable": {"Authorization": f"Basic {HELD_KEY}"},
            "key-unknown": {"Authorization": f"Bearer {OTHER_KEY}"},
        }
        for code, headers in shown.items():
            with self.subTest(code):
                event = await self.refusal(code, **headers)
                detail = event["detail"]
                self.assertEqual((detail["code"], detail["status"]), (code, "401"))
                self.assertEqual((detail["route"], detail["routed_by"]), (ROUTE, str(VERSION)))
                account = build_account(code, Timeline([event], []))
                self.assertEqual(
                    account.decision, f"refused as {code} by route {ROUTE} of version {VERSION}"
                )
                self.assertEqual(account.verdict, "not run")

    # Guards against keys in event files, which more people read than may use the keys.
    async def test_event_has_neither_the_key_nor_its_digest(self) -> None:
        """Nor has the account, whatever the scheme of the field."""
        for scheme in ("Bearer", "Basic", "Odd"):
            event = await self.refusal(scheme, Authorization=f"{scheme} {OTHER_KEY}")
            account = build_account(scheme, Timeline([event], []))
            for text in (json.dumps(event), account.as_text(), account.as_json()):
                self.assertNotIn(OTHER_KEY, text)
                self.assertNotIn(key_digest(OTHER_KEY), text)

    async def test_other_refusals_name_no_route(self) -> None:
        """Their decision isn't one of a route alone."""
        event = await self.refusal("r1", Authorization=f"Bearer {HELD_KEY}")
        self.assertEqual(event["detail"]["code"], "no-upstream")
        self.assertEqual((event["detail"]["route"], event["detail"]["routed_by"]), ("", ""))


if __name__ == "__main__":
    unittest.main()
