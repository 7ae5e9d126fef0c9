"""Fault injection between processes on loopback: a proxy that resets, silences or refuses connections."""
