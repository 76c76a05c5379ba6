"""Conversion of data classes to JSON documents of the store and of peers."""
