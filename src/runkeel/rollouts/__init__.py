"""The sample's path from a trainer's step to its hand-over."""
