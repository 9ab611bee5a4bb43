"""Authentication: the bearer key identifies the workspace and the budget."""

import msgspec

from whinrack.exceptions import Forbidden, Unauthorized
from whinrack.feed import ConfigStore
from whinrack.objects import ApiKey, Budget, Workspace, parse_key_name, verify_key
from whinrack.server._http import HttpRequest

__all__ = ["Authenticator", "Caller"]

_BEARER_PREFIX = "bearer "


class Caller(msgspec.Struct, frozen=True):
    """The workspace and budget that an API key belongs to."""

    workspace_name: str
    workspace: Workspace
    budget_name: str
    budget: Budget


class Authenticator:
    """Verifies bearer keys against the declared ApiKey objects.

    Parameters
    ----------
    config : ConfigStore
        Holds keys, workspaces and budgets.
    """

    def __init__(self, config: ConfigStore):
        self.config = config

    def identify(self, request: HttpRequest) -> Caller:
        """Return the caller that the request's key belongs to.

        Raises
        ------
        Unauthorized
            If the key is missing, malformed or unknown.
        Forbidden
            If the key's workspace or budget is no longer declared.
        """
        text = request.header("Authorization")
        if not text.lower().startswith(_BEARER_PREFIX):
            raise Unauthorized("a bearer key is needed")
        bearer = text[len(_BEARER_PREFIX) :].strip()
        name = parse_key_name(bearer)
        key = self.config.get(ApiKey, name) if name else None
        if key is None or not verify_key(bearer, key):
            raise Unauthorized("the key is unknown")
        workspace = self.config.get(Workspace, key.workspace)
        budget = self.config.get(Budget, key.budget)
        if workspace is None or budget is None or budget.workspace != key.workspace:
            raise Forbidden("the key's workspace or budget is not declared")
        return Caller(key.workspace, workspace, key.budget, budget)
