"""The life of a call, independent of protocols; core/ports.py defines the interfaces to callers and switches."""
