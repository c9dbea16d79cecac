"""Write-once records, replicated by majority over replicas that keep nothing on disk."""

from runkeel.state.records.group import GroupStore, GroupView
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.service import RecordService

__all__ = ["GroupStore", "GroupView", "RecordOptions", "RecordService"]
