"""The life of a call, without a wire: fronts and carrier switches are met through core/ports.py."""
