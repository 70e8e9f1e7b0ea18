"""The documentation names modules, functions and log events that exist in the code."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "mastledge"
# `package/module.py`, and `package/module.py:Class.method` or `package/module.py:function`.
REFERENCE = re.compile(r"`((?:[a-z_]+/)*[a-z_]+\.py)(?::([A-Za-z_]+(?:\.[A-Za-z_]+)*))?`")
# Functions that write a log line, and the prefix that each puts before the event.
LOG_CALLS = {
    "_log": "",
    "log": "",
    "report": "",
    "grumble": "",
    "event": "fleet_",
    "log_event": "fleet_",
    "LogEvent": "fleet_",
}
EVENT_ROW = re.compile(r"^\| `([a-zA-Z_]+)` \|(.*?)\| (info|warning|error)\b[^|]*\| [^|]+ \|$", re.MULTILINE)
MIN_FUNCTION_REFERENCES = 10


def page(name):
    return (ROOT / "docs" / name).read_text()


@cache
def names_in(module):
    """Return the names that a module defines: `function`, `Class` and `Class.method`."""
    names = set()

    def visit(node, prefix):
        for child in node.body:
            if isinstance(child, ast.ClassDef):
                names.add(prefix + child.name)
                visit(child, prefix + child.name + ".")
            elif isinstance(child, ast.FunctionDef):
                names.add(prefix + child.name)

    visit(ast.parse((PACKAGE / module).read_text()), "")
    return names


def references(name):
    return REFERENCE.findall(page(name))


@pytest.mark.parametrize(
    "name", ["architecture.md", "glossary.md", "design.md", "interface.md", "log-events.md"]
)
def test_every_module_and_function_named_in_a_page_exists(name):
    missing = []
    for path, member in references(name):
        if (ROOT / path).is_file():
            continue
        found = [(PACKAGE / path)] if "/" in path else list(PACKAGE.rglob(path))
        modules = [module_path.relative_to(PACKAGE) for module_path in found if module_path.is_file()]
        if not modules or (member and not any(member in names_in(module) for module in modules)):
            missing.append(f"{path}:{member}")
    assert not missing


def test_architecture_page_names_enough_functions():
    assert sum(bool(member) for _, member in references("architecture.md")) > MIN_FUNCTION_REFERENCES


def logging_modules():
    """Return the modules that may write the log, which excludes `lab`."""
    return [path for path in sorted(PACKAGE.rglob("*.py")) if "lab" not in path.relative_to(PACKAGE).parts]


def called_name(function):
    """Return the name of a called function; `log` for `log.write`."""
    if isinstance(function, ast.Attribute) and function.attr == "write":
        return called_name(function.value)
    return function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")


def literal_texts(node):
    """Return the possible texts of an expression, with NAME for each replacement field; None if unknown."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.JoinedStr):
        return ["".join(part.value if isinstance(part, ast.Constant) else "NAME" for part in node.values)]
    if isinstance(node, ast.IfExp):
        texts = [literal_texts(node.body), literal_texts(node.orelse)]
        return None if None in texts else texts[0] + texts[1]
    return None


def fields_in_call(call):
    """Return the names of the log fields that are written out in a call."""
    fields = {keyword.arg for keyword in call.keywords if keyword.arg}
    for argument in call.args[1:]:
        if isinstance(argument, ast.Dict):
            fields |= {key.value for key in argument.keys if isinstance(key, ast.Constant)}
    return fields


def logged_events():
    """Return the events that the code writes, each with its fields."""
    events = {}
    for path in logging_modules():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and node.args and called_name(node.func) in LOG_CALLS:
                prefix = LOG_CALLS[called_name(node.func)]
                for text in literal_texts(node.args[0]) or ():
                    events.setdefault(prefix + text, set()).update(fields_in_call(node))
    return events


def documented_events():
    return {
        event: set(re.findall(r"`([a-z_]+)`", fields))
        for event, fields, _ in EVENT_ROW.findall(page("log-events.md"))
    }


# Events with a computed name, or written without a log function.
NOT_LITERAL = {"line_unwritable"}


def test_logged_and_documented_events_are_the_same():
    assert set(logged_events()) | NOT_LITERAL == set(documented_events())


def test_every_field_of_an_event_is_documented():
    rows = documented_events()
    missing = {event: fields - rows.get(event, set()) for event, fields in logged_events().items()}
    assert not {event: fields for event, fields in missing.items() if fields}
