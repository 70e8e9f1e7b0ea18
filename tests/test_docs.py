"""The pages and the code name the same things: modules, functions and log events."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "mastledge"
# `package/module.py`, and `package/module.py:Class.method` or `package/module.py:function`.
REFERENCE = re.compile(r"`((?:[a-z_]+/)*[a-z_]+\.py)(?::([A-Za-z_]+(?:\.[A-Za-z_]+)*))?`")
# Calls that write a log line, by the name of what is called and what stands before the event.
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
FIRST_LINES_OF_A_REFERENCE_PAGE = 10


def page(name):
    return (ROOT / "docs" / name).read_text()


@cache
def names_in(module):
    """All that a module defines: `function`, `Class`, `Class.method`, `Class.field`."""
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
def test_every_module_and_function_that_a_page_names_exists(name):
    missing = []
    for path, member in references(name):
        if (ROOT / path).is_file():
            continue
        found = [(PACKAGE / path)] if "/" in path else list(PACKAGE.rglob(path))
        modules = [one.relative_to(PACKAGE) for one in found if one.is_file()]
        if not modules or (member and not any(member in names_in(module) for module in modules)):
            missing.append(f"{path}:{member}")
    assert not missing


def test_the_architecture_page_names_a_function_for_each_step():
    assert sum(bool(member) for _, member in references("architecture.md")) > FIRST_LINES_OF_A_REFERENCE_PAGE


def served_modules():
    """Modules that write the log: the laboratory has none."""
    return [path for path in sorted(PACKAGE.rglob("*.py")) if "lab" not in path.relative_to(PACKAGE).parts]


def name_of(function):
    """The name of what is called; `log` for `log.write`."""
    if isinstance(function, ast.Attribute) and function.attr == "write":
        return name_of(function.value)
    return function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")


def literal_texts(node):
    """The texts that an expression may give; NAME for what stands in braces; None where it can't be told."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.JoinedStr):
        return ["".join(part.value if isinstance(part, ast.Constant) else "NAME" for part in node.values)]
    if isinstance(node, ast.IfExp):
        texts = [literal_texts(node.body), literal_texts(node.orelse)]
        return None if None in texts else texts[0] + texts[1]
    return None


def fields_of(call):
    """Names of the fields of a log line, as far as they are written out in the call."""
    fields = {keyword.arg for keyword in call.keywords if keyword.arg}
    for argument in call.args[1:]:
        if isinstance(argument, ast.Dict):
            fields |= {key.value for key in argument.keys if isinstance(key, ast.Constant)}
    return fields


def logged():
    """Events that the code writes, each with its fields."""
    events = {}
    for path in served_modules():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and node.args and name_of(node.func) in LOG_CALLS:
                prefix = LOG_CALLS[name_of(node.func)]
                for text in literal_texts(node.args[0]) or ():
                    events.setdefault(prefix + text, set()).update(fields_of(node))
    return events


def documented():
    return {
        event: set(re.findall(r"`([a-z_]+)`", fields))
        for event, fields, _ in EVENT_ROW.findall(page("log-events.md"))
    }


# Events whose name the code puts together, or that it writes without a call of the log.
NOT_LITERAL = {"line_unwritable"}


def test_every_event_has_a_row_and_every_row_an_event():
    assert set(logged()) | NOT_LITERAL == set(documented())


def test_every_field_of_an_event_is_named_in_its_row():
    rows = documented()
    missing = {event: fields - rows.get(event, set()) for event, fields in logged().items()}
    assert not {event: fields for event, fields in missing.items() if fields}
