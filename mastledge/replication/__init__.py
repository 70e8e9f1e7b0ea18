"""Which dispatchers hold a key, when a claim on it holds, how a repeat finds it anywhere; without I/O."""
