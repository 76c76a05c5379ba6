"""Room at workers: slots, times held and slowdowns, without I/O."""
