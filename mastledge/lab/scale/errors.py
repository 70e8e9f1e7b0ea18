"""Errors of a scale run."""


class ScaleRunError(Exception):
    """The run could not be carried out to its end; the text says what went wrong with what."""
