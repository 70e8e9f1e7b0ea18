"""Differences between two settings documents, as paths with new values."""

from copy import deepcopy
from typing import Any

from mastledge.consensus.errors import SettingsPatchError

Path = list  # keys and list indexes, from the root down


def difference(before: Any, after: Any, path: tuple = ()) -> list[list] | None:
    """Return the [path, value] pairs that turn `before` into `after`.

    None if the documents differ at the root, so that only the whole document describes the change.
    """
    children = _matching_children(before, after)
    if children is not None:
        changes = []
        for key, value_before, value_after in children:
            changes += difference(value_before, value_after, (*path, key))
        return changes
    if before == after and type(before) is type(after):
        return []
    return [[list(path), after]] if path else None


def _matching_children(before: Any, after: Any) -> list[tuple] | None:
    """Return (key or index, value before, value after) for containers of the same shape; None otherwise."""
    if type(before) is type(after) and isinstance(before, dict) and list(before) == list(after):
        return [(key, before[key], after[key]) for key in before]
    if isinstance(before, list) and isinstance(after, list) and len(before) == len(after):
        return [(index, *values) for index, values in enumerate(zip(before, after, strict=True))]
    return None


def apply_patch(document: Any, changes: list[list]) -> Any:
    """Return a copy of the document with the values of `changes` at their paths.

    Raise `SettingsPatchError` if the document has no such path.
    """
    result = deepcopy(document)
    for path, value in changes:
        _replace(result, path, value)
    return result


def _replace(document: Any, path: Path, value: Any) -> None:
    container = document
    try:
        for key in path[:-1]:
            container = container[key]
        container[path[-1]]  # fails if missing: a patch replaces values but adds none
        container[path[-1]] = value
    except (KeyError, IndexError, TypeError) as error:
        raise SettingsPatchError(f"no such place in the settings: {path}") from error
