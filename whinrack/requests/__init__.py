"""Requests: identity across retries, memory, claims and bounds on their tokens."""

from whinrack.requests._claims import (
    CLAIM_KIND,
    ClaimStatus,
    ClaimStore,
    RequestClaim,
    evaluate_claim,
)
from whinrack.requests._identity import (
    RequestIdentity,
    Ticket,
    body_digest,
    decode_ticket,
    encode_ticket,
    new_request_id,
)
from whinrack.requests._memory import (
    ConsultDecision,
    ConsultReply,
    HandoverEntry,
    MemoryEntry,
    RequestMemory,
    RunState,
)
from whinrack.requests._token_bounds import (
    ChatMessage,
    ChatRequest,
    output_token_limit,
    reject_unbounded_fields,
    request_token_bound,
)

__all__ = [
    "CLAIM_KIND",
    "ChatMessage",
    "ChatRequest",
    "ClaimStatus",
    "ClaimStore",
    "ConsultDecision",
    "ConsultReply",
    "HandoverEntry",
    "MemoryEntry",
    "RequestClaim",
    "RequestIdentity",
    "RequestMemory",
    "RunState",
    "Ticket",
    "body_digest",
    "decode_ticket",
    "encode_ticket",
    "evaluate_claim",
    "new_request_id",
    "output_token_limit",
    "reject_unbounded_fields",
    "request_token_bound",
]
