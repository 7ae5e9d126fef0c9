"""Forecasts of a fleet's service under a load, by the loss formulas of traffic engineering; no I/O."""
