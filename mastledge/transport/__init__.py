"""Event loop, connections, buffers and descriptor budget. Independent of any protocol."""
