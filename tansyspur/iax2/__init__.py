"""IAX2 (RFC 5456) for callers and carrier switches: codec, reliable transport, registration, call handling."""
