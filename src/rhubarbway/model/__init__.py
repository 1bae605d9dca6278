"""Core types: plain classes with slots that all packages use."""

from rhubarbway.model.answer import Answer, Coverage, MissingShard, MissReason, ShardAnswer
from rhubarbway.model.backend_server import BackendServer
from rhubarbway.model.caller_connection import CallerConnection, ConnectionPhase, Shortage
from rhubarbway.model.failure import ExecutionStatus, Failure, FailureKind
from rhubarbway.model.finding import Finding
from rhubarbway.model.forwarding import (
    UNDELIVERED_ENDS,
    ExchangeEnd,
    ExchangeOutcome,
    ForwardedAnswer,
    ForwardedRequest,
    ReplicaReply,
)
from rhubarbway.model.identity import AttemptId, HostIdentity
from rhubarbway.model.manifest import (
    CanaryMode,
    EntryHost,
    JobPrefix,
    Manifest,
    Policy,
    Preference,
    PrefixStatus,
    Replica,
    Service,
    Shard,
    Tenant,
)
from rhubarbway.model.membership import ListedHost, MemberRecord, MemberState, VersionReport
from rhubarbway.model.outcome import AttemptOutcome, OutcomeKind
from rhubarbway.model.query import Query, SubQuery
from rhubarbway.model.route import CallerLimits, Route, RoutingTable, SplitPart
from rhubarbway.model.server_notice import Incarnation, ServerNotice, StatedLoad
from rhubarbway.model.store_item import (
    ItemEvidence,
    ItemSummary,
    KeyKind,
    StoreItem,
    StorePosition,
)

__all__ = [
    "UNDELIVERED_ENDS",
    "Answer",
    "AttemptId",
    "AttemptOutcome",
    "BackendServer",
    "CallerConnection",
    "CallerLimits",
    "CanaryMode",
    "ConnectionPhase",
    "Coverage",
    "EntryHost",
    "ExchangeEnd",
    "ExchangeOutcome",
    "ExecutionStatus",
    "Failure",
    "FailureKind",
    "Finding",
    "ForwardedAnswer",
    "ForwardedRequest",
    "HostIdentity",
    "Incarnation",
    "ItemEvidence",
    "ItemSummary",
    "JobPrefix",
    "KeyKind",
    "ListedHost",
    "Manifest",
    "MemberRecord",
    "MemberState",
    "MissReason",
    "MissingShard",
    "OutcomeKind",
    "Policy",
    "Preference",
    "PrefixStatus",
    "Query",
    "Replica",
    "ReplicaReply",
    "Route",
    "RoutingTable",
    "StatedLoad",
    "ServerNotice",
    "Service",
    "Shard",
    "ShardAnswer",
    "Shortage",
    "SplitPart",
    "StoreItem",
    "StorePosition",
    "SubQuery",
    "Tenant",
    "VersionReport",
]
