"""Test rig: real gatekeepers on loopback among simulated store switches, callers and command channels."""
