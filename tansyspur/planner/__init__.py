"""Capacity planner: forecasts the service of a fleet under a load with the loss formulas of teletraffic engineering."""
