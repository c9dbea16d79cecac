"""The internal protocol: thrift messages in multiplexed frames."""
