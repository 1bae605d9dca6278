"""Client of entry hosts: single queries and load tests of limited size."""

from rhubarbway.client.caller import CallerConnection, QueryReply, reply_summary
from rhubarbway.client.load import LoadPlan, LoadReport, run_load

__all__ = [
    "CallerConnection",
    "LoadPlan",
    "LoadReport",
    "QueryReply",
    "reply_summary",
    "run_load",
]
