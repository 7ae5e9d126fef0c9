"""Typed records: fleets and loads in a CUE-like language, validated against schemas that ship with the package."""

from tansyspur.records.evaluate import Problem, RecordError, load, loads, schemas

__all__ = ["Problem", "RecordError", "load", "loads", "schemas"]
