"""The timeline as one self-contained HTML page, with a row for each process."""

from __future__ import annotations

import datetime
from html import escape
from xml.etree import ElementTree as Xml

from cowslipvane.commands._timeline import Timeline, format_event
from cowslipvane.events import EVENT_KINDS, EventForm

# Lengths in pixels.
_LABEL_WIDTH = 190
_PLOT_WIDTH = 1000
_ROW_HEIGHT = 34
_PLOT_TOP = 40
_DOT_RADIUS = 5
# Ticks of the time axis.
_TICK_COUNT = 6
# Colours by event kind, most of them from the Okabe-Ito palette for colour-blind readers. Kinds
# that aren't listed are grey.
_COLOURS = {
    "accepted": "#0072b2",
    "applied": "#56b4e9",
    "attempt": "#e69f00",
    "leader": "#000000",
    "leaving": "#f0e442",
    "member": "#009e73",
    "refusal": "#d55e00",
    "rejected": "#cc0000",
    "verdict": "#cc79a7",
}
_OTHER_COLOUR = "#999999"
_STYLE = (
    "body{font:14px sans-serif;margin:1.5em;color:#111;background:#fff}"
    "text{font:12px sans-serif;fill:#111}li.gap{color:#a00}td{padding:0 .8em;font-size:12px}"
)


def render_timeline_page(timeline: Timeline) -> str:
    """Return the HTML page of a timeline."""
    gaps = "".join(f'<li class="gap">{escape(gap)}</li>' for gap in timeline.gaps)
    rows = "".join(f"<tr><td>{escape(format_event(event))}</td></tr>" for event in timeline.events)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"/>'
        f"<title>Time line</title><style>{_STYLE}</style></head><body>"
        f"<h1>Time line: {len(timeline.events)} events</h1>"
        f"{Xml.tostring(_plot(timeline.events), encoding='unicode')}"
        f"<ul>{gaps}</ul><table>{rows}</table></body></html>\n"
    )


def _plot(events: list[EventForm]) -> Xml.Element:
    """Return the plot of events by time and process, with a legend."""
    processes = sorted(
        {(event["data_centre"], event["host"], event["process"]) for event in events}
    )
    bottom = _PLOT_TOP + _ROW_HEIGHT * len(processes)
    size = {"width": str(_LABEL_WIDTH + _PLOT_WIDTH + 40), "height": str(bottom + 70)}
    svg = Xml.Element("svg", {"xmlns": "http://www.w3.org/2000/svg", "role": "img", **size})
    first = min((event["wall"] for event in events), default=0.0)
    span = max((event["wall"] for event in events), default=0.0) - first or 1.0
    _draw_axis(svg, first, span, bottom)
    for row, (data_centre, host, process) in enumerate(processes):
        y = _PLOT_TOP + _ROW_HEIGHT * row + _ROW_HEIGHT // 2
        _draw_line(svg, (_LABEL_WIDTH, y), (_LABEL_WIDTH + _PLOT_WIDTH, y))
        _draw_text(svg, (4, y - 2), host)
        _draw_text(svg, (4, y + 11), f"{data_centre}, process {process}")
    row_by_process = {key: number for number, key in enumerate(processes)}
    for event in events:
        row = row_by_process[event["data_centre"], event["host"], event["process"]]
        x = _LABEL_WIDTH + _PLOT_WIDTH * (event["wall"] - first) / span
        _draw_event(svg, event, (x, _PLOT_TOP + _ROW_HEIGHT * row + _ROW_HEIGHT / 2))
    _draw_legend(svg, events, bottom + 45)
    return svg


def _draw_axis(svg: Xml.Element, first: float, span: float, bottom: int) -> None:
    """Draw the time axis, in seconds after the first event."""
    start = datetime.datetime.fromtimestamp(first, datetime.UTC)
    _draw_text(svg, (4, 16), f"{start:%Y-%m-%d %H:%M:%S} UTC")
    for tick in range(_TICK_COUNT):
        x = _LABEL_WIDTH + _PLOT_WIDTH * tick / (_TICK_COUNT - 1)
        _draw_line(svg, (x, _PLOT_TOP - 6), (x, bottom))
        _draw_text(svg, (x - 10, _PLOT_TOP - 12), f"+{span * tick / (_TICK_COUNT - 1):.3g} s")


def _draw_event(svg: Xml.Element, event: EventForm, position: tuple[float, float]) -> None:
    """Draw one event as a dot whose tooltip describes it."""
    x, y = position
    circle = {"cx": f"{x:.1f}", "cy": f"{y:.1f}", "r": str(_DOT_RADIUS)}
    colour = _COLOURS.get(event["kind"], _OTHER_COLOUR)
    style = {"fill": colour, "fill-opacity": "0.75", "class": "event"}
    dot = Xml.SubElement(svg, "circle", {**circle, **style})
    Xml.SubElement(dot, "title").text = format_event(event)


def _draw_legend(svg: Xml.Element, events: list[EventForm], y: int) -> None:
    """Draw a legend with the colour of each kind that occurs."""
    present = {event["kind"] for event in events}
    shown = [kind for kind in EVENT_KINDS if kind in present]
    for number, kind in enumerate(shown):
        x = _LABEL_WIDTH + 90 * (number % 11)
        line = y + 16 * (number // 11)
        circle = {"cx": str(x), "cy": str(line - 4), "r": str(_DOT_RADIUS)}
        Xml.SubElement(svg, "circle", {**circle, "fill": _COLOURS.get(kind, _OTHER_COLOUR)})
        _draw_text(svg, (x + 9, line), kind)


def _draw_line(svg: Xml.Element, start: tuple[float, float], end: tuple[float, float]) -> None:
    """Draw a thin line."""
    ends = {"x1": start[0], "y1": start[1], "x2": end[0], "y2": end[1]}
    coordinates = {name: f"{value:.1f}" for name, value in ends.items()}
    Xml.SubElement(svg, "line", {**coordinates, "stroke": "#ddd"})


def _draw_text(svg: Xml.Element, position: tuple[float, float], text: str) -> None:
    """Draw a text."""
    label = Xml.SubElement(svg, "text", {"x": f"{position[0]:.1f}", "y": f"{position[1]:.1f}"})
    label.text = text
