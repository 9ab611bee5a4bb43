"""Generated messages and stubs; see `tools/generate.py`."""
