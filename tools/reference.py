"""The reference pages, written from the code so that they can't drift from it."""

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

A process reads one TOML file. `cowslipvane check --settings FILE` reports every fault at once and
prints the settings in effect. `make docs` writes this page from the code.

| key | default | allowed | unit | what it is for |
| --- | --- | --- | --- | --- |
"""
_COMMANDS_HEAD = """# Commands

`make docs` writes this page from the code.

Exit codes: 0, it was done; 1, it was refused, or nobody who could do it answered; 2, the command
line or a file is at fault, and nothing was sent. Errors go to standard error, one line for each.
Tables are for people: programs use `--output json`. Colours and progress appear on a terminal only.

`COWSLIPVANE_SERVERS` stands for `--server`, with spaces between several. `COWSLIPVANE_TOKEN_FILE`
names the file with the token, where the settings of the processes name one. For completion in the
shell, add `eval "$(cowslipvane completion bash)"` to its start file.
"""


_METRICS_HEAD = """# Metrics

Every process answers `GET /metrics` at its operators' listener, in the text form that Prometheus
reads. Counters end in `_total` there. Besides these, the interpreter's own metrics are there
(`process_`, `python_`). No label holds anything of a caller, so the number of series doesn't grow
with callers. `make docs` writes this page from the code.

The four measures of the users: convergence time is `cowslipvane_convergence_seconds` and control
bytes are `cowslipvane_sent_bytes` without the messages of calls (Offer, Answer, Chunk, Refused,
Cancel); service at the crest is `cowslipvane_calls`; waiting of short work behind long work shows
in `cowslipvane_queue` with `cowslipvane_running`; the tail is `cowslipvane_call_seconds`.

| metric | kind | label | what it tells |
| --- | --- | --- | --- |
"""


def metrics_page() -> str:
    """Return the page of all metrics."""
    rows = [
        f"| `{it.name}` | {it.kind} | {it.label or '-'} | {it.description} |" for it in FAMILIES
    ]
    return _METRICS_HEAD + "\n".join(rows) + "\n"


def settings_page() -> str:
    """Return the page of all settings."""
    rows = [f"| {' | '.join(cells)} |" for cells in _setting_rows("", Settings)]
    return _SETTINGS_HEAD + "\n".join(rows) + "\n"


def commands_page() -> str:
    """Return the page of all commands."""
    return _COMMANDS_HEAD + "".join(_command_sections("cowslipvane", root))


def _setting_rows(path: str, kind: Any) -> Iterator[tuple[str, ...]]:
    """Yield a row for each setting, those of its tables after them."""
    hints = get_type_hints(kind)
    for field in dataclasses.fields(kind):
        key = f"{path}{field.name}"
        if dataclasses.is_dataclass(hints[field.name]):
            yield from _setting_rows(f"{key}.", hints[field.name])
            continue
        match field.metadata.get("allowed") or field.metadata["described"]:
            case NumberRange(low=low, high=high, unit=unit, description=about):
                yield f"`{key}`", f"{field.default:g}", f"{low:g} to {high:g}", unit, about
            case ValueDescription(values=values, description=about):
                yield f"`{key}`", _default(field.default), values, "", about


def _default(default: Any) -> str:
    """Return a default as the page shows it."""
    if default is dataclasses.MISSING:
        return "none, it is needed"
    if isinstance(default, bool):
        return str(default).lower()
    return str(default) if default else "empty"


def _command_sections(path: str, command: click.Command) -> Iterator[str]:
    """Yield a section for each command below a group."""
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from _command_sections(f"{path} {name}", command.commands[name])
        return
    arguments = [item for item in command.params if isinstance(item, click.Argument)]
    usage = " ".join(
        [path, *(argument.make_metavar(click.Context(command)) for argument in arguments)]
    )
    yield f"\n## {usage}\n\n{command.help}\n"
    options = [item for item in command.params if isinstance(item, click.Option)]
    if options:
        yield "\n"
    for option in options:
        yield f"- {_option_line(option)}\n"


def _option_line(option: click.Option) -> str:
    """Return an option with its value and its help."""
    names = ", ".join([*option.opts, *option.secondary_opts])
    marks = [mark for mark, holds in _marks(option).items() if holds]
    marked = f" ({', '.join(marks)})" if marks else ""
    text = option.help or "The file."
    return f"`{names}`{marked}: {text}"


def _marks(option: click.Option) -> dict[str, bool]:
    """Return what is said of an option in brackets, and whether it holds."""
    return {"needed": option.required, "may be repeated": option.multiple}


def pages() -> dict[str, str]:
    """Return the text of each reference page by its file name."""
    return {
        "COMMANDS.md": commands_page(),
        "SETTINGS.md": settings_page(),
        "METRICS.md": metrics_page(),
    }


def main() -> None:
    """Write the pages."""
    for name, text in pages().items():
        (DOCS / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
