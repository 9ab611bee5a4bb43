"""Calls between the daemons."""
