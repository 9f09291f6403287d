"""Load generators and benchmarks that drive the production code of the entry."""
