"""Generate the reference pages from the code, so that they always match it."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_type_hints

import click

from cowslipvane.cmdline import main as root
from cowslipvane.metrics import FAMILIES
from cowslipvane.settings import NumberRange, Settings, ValueDescription

DOCS = Path(__file__).resolve().parent.parent / "docs"

_SETTINGS_HEAD = """# Settings

A process reads one TOML file. `cowslipvane check --settings FILE` reports all errors in a file and
prints the effective settings. `make docs` generates this page from the code.

| key | default | allowed | unit | description |
| --- | --- | --- | --- | --- |
"""
_COMMANDS_HEAD = """# Commands

`make docs` generates this page from the code.

Exit codes: 0, success; 1, the request was refused, or no process that can handle it responded; 2,
the command line or a file is invalid, and nothing was sent. Errors go to standard error, one line
each. Tables are meant for people, and programs use `--output json`. Colours and progress messages
appear only on a terminal.

`COWSLIPVANE_SERVERS` sets `--server`, with several addresses separated by spaces.
`COWSLIPVANE_TOKEN_FILE` names the file that holds the token, if the settings of the processes
name a token file. For shell completion, add `eval "$(cowslipvane completion bash)"` to the start
file of the shell.
"""


_METRICS_HEAD = """# Metrics

Every process serves `GET /metrics` at its operators' listener, in the text format of Prometheus.
The names of counters end in `_total` there. The response also contains the metrics of the
interpreter (`process_`, `python_`). No label holds data from a caller, so the number of series
doesn't grow with the number of callers. `make docs` generates this page from the code.

Four measures summarize the service to its users:

1. Convergence and its cost: `cowslipvane_convergence_seconds`, and the control bytes, which are
   `cowslipvane_sent_bytes` without the messages of calls (Offer, Answer, Chunk, Refused, Cancel).
2. Service at peak load: `cowslipvane_calls`.
3. Head-of-line blocking of short requests by long ones: `cowslipvane_queue` together with
   `cowslipvane_running`.
4. Tail latency: `cowslipvane_call_seconds`.

| metric | kind | label | description |
| --- | --- | --- | --- |
"""


def metrics_page() -> str:
    """Return the reference page of the metrics."""
    rows = [
        f"| `{family.name}` | {family.kind} | {family.label or '-'} | {family.description} |"
        for family in FAMILIES
    ]
    return _METRICS_HEAD + "\n".join(rows) + "\n"


def settings_page() -> str:
    """Return the reference page of the settings."""
    rows = [f"| {' | '.join(cells)} |" for cells in _setting_rows("", Settings)]
    return _SETTINGS_HEAD + "\n".join(rows) + "\n"


def commands_page() -> str:
    """Return the reference page of the commands."""
    return _COMMANDS_HEAD + "".join(_command_sections("cowslipvane", root))


def _setting_rows(path: str, settings_class: Any) -> Iterator[tuple[str, ...]]:
    """Yield the cells of a row for each setting, including those of nested tables."""
    hints = get_type_hints(settings_class)
    for field in dataclasses.fields(settings_class):
        key = f"{path}{field.name}"
        if dataclasses.is_dataclass(hints[field.name]):
            yield from _setting_rows(f"{key}.", hints[field.name])
            continue
        match field.metadata.get("allowed") or field.metadata["described"]:
            case NumberRange(low=low, high=high, unit=unit, description=description):
                yield f"`{key}`", f"{field.default:g}", f"{low:g} to {high:g}", unit, description
            case ValueDescription(values=values, description=description):
                yield f"`{key}`", _default(field.default), values, "", description


def _default(default: Any) -> str:
    """Format the default value of a setting."""
    if default is dataclasses.MISSING:
        return "none (required)"
    if isinstance(default, bool):
        return str(default).lower()
    return str(default) if default else "empty"


def _command_sections(path: str, command: click.Command) -> Iterator[str]:
    """Yield a section for a command, or for each command of a group."""
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from _command_sections(f"{path} {name}", command.commands[name])
        return
    arguments = [param for param in command.params if isinstance(param, click.Argument)]
    usage = " ".join(
        [path, *(argument.make_metavar(click.Context(command)) for argument in arguments)]
    )
    yield f"\n## {usage}\n\n{command.help}\n"
    options = [param for param in command.params if isinstance(param, click.Option)]
    if options:
        yield "\n"
    for option in options:
        yield f"- {_option_line(option)}\n"


def _option_line(option: click.Option) -> str:
    """Return the line of an option: its names, its marks and its help text."""
    names = ", ".join([*option.opts, *option.secondary_opts])
    marks = [mark for mark, applies in _marks(option).items() if applies]
    suffix = f" ({', '.join(marks)})" if marks else ""
    # Only the option for the resource file has no help text.
    text = option.help or "The file."
    return f"`{names}`{suffix}: {text}"


def _marks(option: click.Option) -> dict[str, bool]:
    """Return the marks that an option can have, and whether each applies."""
    return {"required": option.required, "may be repeated": option.multiple}


def pages() -> dict[str, str]:
    """Return the text of each reference page by its file name."""
    return {
        "COMMANDS.md": commands_page(),
        "SETTINGS.md": settings_page(),
        "METRICS.md": metrics_page(),
    }


def main() -> None:
    """Write the reference pages to the docs folder."""
    for name, text in pages().items():
        (DOCS / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
