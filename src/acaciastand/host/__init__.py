"""The aggregate of one host: capacity, admission, tasks, grants and keyed requests."""
