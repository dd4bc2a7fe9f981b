"""Decisions of a shard's owner on batch jobs, their attempts, and the homes of request buckets."""
