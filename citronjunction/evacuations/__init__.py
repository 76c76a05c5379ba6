"""Evacuations of data centres, to whose workers nothing more is sent."""
