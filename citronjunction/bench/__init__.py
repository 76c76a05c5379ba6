"""Experiments that measure the decisions of the product and their cost."""
