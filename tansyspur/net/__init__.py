"""The platform's wires: JSON lines from callers, SIP to carrier switches, the command channel, the peers."""
