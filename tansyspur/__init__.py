"""tansyspur: routing and admission decisions for a call controller."""

from tansyspur.interface import Settings
from tansyspur.policy import Controller

__all__ = ["Controller", "Settings"]
