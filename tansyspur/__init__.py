"""Routing and admission decisions for a call controller ("gatekeeper").

As a library: Controller takes events and returns actions, both defined in tansyspur.interface; it does no I/O.
`python -m tansyspur` runs the gatekeeper, and with a sub-command one of the operators' tools.
"""

from tansyspur.interface import Settings
from tansyspur.policy import Controller

__all__ = ["Controller", "Settings"]
