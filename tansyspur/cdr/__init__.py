"""Call detail records: one line for each ended call, numbered without gaps, so that a missing record is noticed."""
