"""The sub-commands of the operators' tools; each module is imported only when its command is called."""
