"""Admission control: fair queueing, concurrency limits, early refusal."""
