"""Call detail records: one complete line for each call, numbered, so that a missing record is noticed."""
