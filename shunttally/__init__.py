"""shunttally: routing and admission decisions for a call controller."""

from shunttally.interface import Settings
from shunttally.policy import Controller

__all__ = ["Controller", "Settings"]
