"""What differs between two documents of settings, as places and their new values."""

from copy import deepcopy

Path = list  # names and places from the root down


def difference(before, after, path=()):
    """[(path, value)] that lead from one document to the other; None where only the whole one does."""
    if type(before) is type(after) and isinstance(before, dict) and list(before) == list(after):
        pairs = [(name, before[name], after[name]) for name in before]
    elif isinstance(before, list) and isinstance(after, list) and len(before) == len(after):
        pairs = [(place, *both) for place, both in enumerate(zip(before, after, strict=True))]
    elif before == after and type(before) is type(after):
        return []
    elif not path:
        return None
    else:
        return [[list(path), after]]
    out = []
    for name, one, other in pairs:
        out += difference(one, other, (*path, name))
    return out


def patched(document, changes):
    """The document with these values in their places; ValueError where a place is not there."""
    out = deepcopy(document)
    for path, value in changes:
        here = out
        try:
            for name in path[:-1]:
                here = here[name]
            here[path[-1]]  # it has to be there
            here[path[-1]] = value
        except (KeyError, IndexError, TypeError) as error:
            raise ValueError(f"no such place in the settings: {path}") from error
    return out
