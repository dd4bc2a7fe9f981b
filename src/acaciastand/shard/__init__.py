"""The aggregate of a shard's owner: jobs, tasks, attempts, quotas and buckets."""
