"""Faults played between real processes on loopback: a proxy whose links can be cut, silenced or delayed."""
