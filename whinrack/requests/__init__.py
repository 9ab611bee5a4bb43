"""Requests: identity through retries, memory, claims and bounds on their tokens."""

from whinrack.requests._claims import (
    CLAIM_KIND,
    ClaimStore,
    ClaimVerdict,
    RequestClaim,
    judge_claim,
)
from whinrack.requests._cover import (
    ChatMessage,
    ChatRequest,
    check_fields,
    cover_bound,
    output_limit,
)
from whinrack.requests._identity import (
    Identity,
    Ticket,
    body_digest,
    new_request_id,
    read_ticket,
    write_ticket,
)
from whinrack.requests._memory import (
    Consultation,
    HandedEntry,
    MemoryEntry,
    RequestMemory,
    RunState,
    Verdict,
)

__all__ = [
    "CLAIM_KIND",
    "ChatMessage",
    "ChatRequest",
    "ClaimStore",
    "ClaimVerdict",
    "Consultation",
    "HandedEntry",
    "Identity",
    "MemoryEntry",
    "RequestClaim",
    "RequestMemory",
    "RunState",
    "Ticket",
    "Verdict",
    "body_digest",
    "check_fields",
    "cover_bound",
    "judge_claim",
    "new_request_id",
    "output_limit",
    "read_ticket",
    "write_ticket",
]
