"""What differs between two settings documents, as paths and their new values."""

from copy import deepcopy
from typing import Any

from mastledge.consensus.errors import SettingsPatchError

Path = list  # of names and list positions, from the root down


def difference(before: Any, after: Any, path: tuple = ()) -> list[list] | None:
    """Return the [path, value] pairs that lead from one document to the other.

    None where no path but the root itself differs, so that only the whole document tells the change.
    """
    pairs = _pairs(before, after)
    if pairs is not None:
        changes = []
        for name, value_before, value_after in pairs:
            changes += difference(value_before, value_after, (*path, name))
        return changes
    if before == after and type(before) is type(after):
        return []
    return [[list(path), after]] if path else None


def _pairs(before: Any, after: Any) -> list[tuple] | None:
    """Return (name or position, value before, value after) of two containers of one shape; else None."""
    if type(before) is type(after) and isinstance(before, dict) and list(before) == list(after):
        return [(name, before[name], after[name]) for name in before]
    if isinstance(before, list) and isinstance(after, list) and len(before) == len(after):
        return [(position, *both) for position, both in enumerate(zip(before, after, strict=True))]
    return None


def patched(document: Any, changes: list[list]) -> Any:
    """Return a copy of the document with these values at these paths.

    Raises `SettingsPatchError` where the document has no such path.
    """
    result = deepcopy(document)
    for path, value in changes:
        _replace(result, path, value)
    return result


def _replace(document: Any, path: Path, value: Any) -> None:
    container = document
    try:
        for name in path[:-1]:
            container = container[name]
        container[path[-1]]  # a patch replaces values, it adds none
        container[path[-1]] = value
    except (KeyError, IndexError, TypeError) as error:
        raise SettingsPatchError(f"no such place in the settings: {path}") from error
