"""IAX2 callers and switches (RFC 5456) on the same core: codec, reliable transport, front and back."""
