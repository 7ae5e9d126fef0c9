"""Fault injection between real processes on loopback: a proxy that cuts, silences or delays connections."""
