"""Links between dispatchers, on `transport/`. Frames go one way; the receiver acknowledges each.

Links do not interpret the content of frames. See docs/formats.md for the format.
"""
