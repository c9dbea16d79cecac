"""The protocol between nodes: thrift messages in multiplexed streams."""
