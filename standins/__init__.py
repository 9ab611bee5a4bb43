"""Small stand-ins for the outside systems, run as processes of their own."""
