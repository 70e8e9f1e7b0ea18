"""Links between dispatchers, on `transport/`. Frames go one way; the other side acknowledges each.

Nothing here knows what the frames say. docs/formats.md has their format.
"""
