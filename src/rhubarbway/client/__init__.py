"""Callers' side of an entry host: single queries and bounded load."""

from rhubarbway.client.caller import CallerConnection, QueryReply, reply_summary
from rhubarbway.client.load import LoadPlan, LoadReport, run_load

__all__ = [
    "CallerConnection",
    "LoadPlan",
    "LoadReport",
    "QueryReply",
    "run_load",
    "reply_summary",
]
