"""IAX2 (RFC 5456) callers and carrier switches: codec, reliable transport, registration, call handling."""
