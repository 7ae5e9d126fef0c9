"""Stand-ins that the cases of review/6 to review/10 share: platform, switches, discovery and callers."""
