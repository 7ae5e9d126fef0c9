"""Charts of a forecast, and one self-contained HTML page with them."""
