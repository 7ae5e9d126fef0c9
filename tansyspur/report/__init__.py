"""HTML report with the charts of a forecast."""
