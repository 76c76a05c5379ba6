"""Placement of hosts: data centres, kinds, prices, waves and refusals."""
