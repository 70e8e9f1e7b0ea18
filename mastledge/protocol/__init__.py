"""HTTP/1.1 with clients, workers and discovery. The names on these wires end here. Knows of no decision."""
