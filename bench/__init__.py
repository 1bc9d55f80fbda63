"""Standing measurements that start processes or run long."""
