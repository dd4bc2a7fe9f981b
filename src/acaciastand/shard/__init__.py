"""The aggregate of one shard of batch jobs."""
