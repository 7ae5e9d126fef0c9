"""Network protocols: JSON lines from callers, SIP to carrier switches, the command channel, other gatekeepers."""
