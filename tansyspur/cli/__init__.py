"""Sub-commands of the operators' tools. A module is imported only when one of its commands runs."""
