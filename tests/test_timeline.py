"""Tests of the timeline, its HTML page, and the explanation of a request."""

import re
import unittest
from html.parser import HTMLParser
from xml.etree import ElementTree as Xml

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.commands import (
    CommandFailed,
    Filter,
    Timeline,
    build_account,
    render_timeline_page,
)
from cowslipvane.commands._timeline import merge
from cowslipvane.events import EventForm, EventLog, HybridClock, Origin
from cowslipvane.membership import Exchange
from cowslipvane.tasks.peers import _gossip  # noqa: F401  # Registers the messages.
from cowslipvane.types import Address, DataCentre, HostName
from cowslipvane.wire import (
    Link,
    LinkClosed,
    LinkIdentity,
    Malformed,
    Traffic,
    connect,
    link_identity,
)

ANY = Filter()


def form(
    kind: str,
    wall: float,
    *,
    host: str = "a",
    request: str = "",
    version: int = 0,
    detail: dict[str, str] | None = None,
) -> EventForm:
    """Return an event as JSON."""
    return EventForm(
        kind=kind,
        wall=wall,
        logical=0,
        host=host,
        data_centre="east",
        process=1,
        request=request,
        version=version,
        detail=detail or {},
    )


REFUSAL = form(
    "refusal",
    3.0,
    request="r1",
    detail={"asked": "GET /x", "code": "draining", "verdict": "not run", "sentence": "No."},
)
ATTEMPT = form("attempt", 1.0, request="r1", detail={"owner": "b", "asked": "GET /x"})


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """Causes precede effects across a real link between hosts with skewed clocks."""

    async def test_a_message_carries_its_stamp_to_a_host_whose_clock_is_behind(self) -> None:
        """An event after the receipt of a message sorts after the events before its sending."""
        clocks = {
            "ahead": HybridClock(wall=lambda: 1000.0),
            "behind": HybridClock(wall=lambda: 10.0),
        }
        logs = {
            name: EventLog(origin=Origin(HostName(name), DataCentre("east"), 1), clock=clock)
            for name, clock in clocks.items()
        }

        async def handle_connection(connection: ServerConnection) -> None:
            """Receive a message and record an event."""
            link = Link(
                connection=connection, identity=LinkIdentity(clocks["behind"], None, Traffic())
            )
            await link.receive()
            logs["behind"].record("applied", version=1)

        link_identity.set(LinkIdentity(clocks["ahead"], None, Traffic()))
        async with serve(handle_connection, "127.0.0.1", 0) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            logs["ahead"].record("accepted", version=1)
            async with connect(Address("127.0.0.1", port), "/") as link:
                await link.send(Exchange(digest=0, members=()))
                with self.assertRaises(LinkClosed):
                    await link.receive()
        events = merge([event for log in logs.values() for event in log.select()], ANY)
        self.assertEqual([event["kind"] for event in events], ["accepted", "applied"])

    async def test_a_message_without_a_stamp_is_malformed(self) -> None:
        """Bytes too short for a stamp are refused."""

        async def handle_connection(connection: ServerConnection) -> None:
            """Send bytes that are too short for a stamp."""
            await connection.send(b"\x80")

        async with serve(handle_connection, "127.0.0.1", 0) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            async with connect(Address("127.0.0.1", port), "/") as link:
                with self.assertRaises(Malformed):
                    await link.receive()


class FilterTest(unittest.TestCase):
    """Events are merged, each once, and filtered."""

    def test_copies_of_one_event_count_once(self) -> None:
        """The copy of an event at another process is the same event."""
        self.assertEqual(merge([REFUSAL, ATTEMPT, REFUSAL.copy()], ANY), [ATTEMPT, REFUSAL])

    def test_each_criterion_selects_its_events(self) -> None:
        """Events are filtered by request, version, upstream and time."""
        applied = form("applied", 2.0, host="c", version=4)
        events = [ATTEMPT, applied, REFUSAL]
        cases = {
            Filter(request="r1"): [ATTEMPT, REFUSAL],
            Filter(version=4): [applied],
            Filter(upstream="b"): [ATTEMPT],
            Filter(upstream="c"): [applied],
            Filter(since=1.5, until=2.5): [applied],
        }
        for criteria, expected in cases.items():
            self.assertEqual(merge(events, criteria), expected, criteria)


class AccountTest(unittest.TestCase):
    """The account of a request is derived from the events that are available."""

    def test_a_refusal_takes_precedence_over_other_events(self) -> None:
        """The account doesn't depend on which processes respond."""
        whole = build_account("r1", Timeline([ATTEMPT, REFUSAL], []))
        partial = build_account("r1", Timeline([REFUSAL], ["b did not answer: gone"]))
        self.assertEqual(whole[:5], partial[:5])
        self.assertEqual(whole[1:5], ("GET /x", "refused as draining", "not run", "No."))

    def test_an_attempt_without_a_response_may_have_run(self) -> None:
        """The lack of a response doesn't prove that the request was not run."""
        self.assertEqual(build_account("r1", Timeline([ATTEMPT], [])).verdict, "may have run")

    def test_a_request_with_a_response_was_run(self) -> None:
        """The decision names the status of the response."""
        detail = {"owner": "b", "verdict": "ran", "outcome": "200"}
        verdict = form("verdict", 2.0, request="r1", detail=detail)
        account = build_account("r1", Timeline([ATTEMPT, verdict], []))
        self.assertEqual(
            (account.verdict, account.decision), ("ran", "answered with HTTP status 200")
        )

    def test_an_unknown_request_fails_the_command(self) -> None:
        """The error names the processes that did not respond."""
        with self.assertRaisesRegex(CommandFailed, "check the id.*b did not answer"):
            build_account("r1", Timeline([], ["b did not answer: gone"]))


class TimelinePageTest(unittest.TestCase):
    """The HTML page is valid and self-contained."""

    def test_the_page_parses_and_has_a_row_for_each_process(self) -> None:
        """Each event is a dot inside the plot, texts are escaped, and nothing is loaded."""
        with_markup = form("member", 5.0, host="<b>", detail={"member": '"&<script>'})
        page = render_timeline_page(Timeline([ATTEMPT, REFUSAL, with_markup], ["<gap>"]))
        HTMLParser().feed(page)
        drawing = re.search(r"<svg.*</svg>", page, re.DOTALL)
        assert drawing is not None
        svg = Xml.fromstring(drawing.group())
        namespace = "{http://www.w3.org/2000/svg}"
        texts = [item.text for item in svg.iter(f"{namespace}text")]
        self.assertEqual([host for host in texts if host in ("a", "<b>")], ["<b>", "a"])
        dots = [item for item in svg.iter(f"{namespace}circle") if item.get("class") == "event"]
        self.assertEqual(len(dots), 3)
        for dot in dots:
            self.assertLess(float(dot.attrib["cx"]), float(svg.attrib["width"]))
            self.assertLess(float(dot.attrib["cy"]), float(svg.attrib["height"]))
        for forbidden in ("<script", "src=", "href=", "url(", "<gap>"):
            self.assertNotIn(forbidden, page)

    def test_an_empty_timeline_is_a_page_too(self) -> None:
        """A timeline without events renders without an error."""
        self.assertIn("0 events", render_timeline_page(Timeline([], [])))


if __name__ == "__main__":
    unittest.main()
