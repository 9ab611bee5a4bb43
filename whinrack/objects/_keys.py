"""Bearer keys of the form `wr_<name>_<secret>`; only a salted hash of the secret is stored."""

import hashlib
import hmac
import re
import secrets

from whinrack.objects._kinds import ApiKey

__all__ = ["KEY_PATTERN", "hash_secret", "parse_key_name", "make_key", "verify_key"]

KEY_PATTERN = re.compile(r"wr_([a-z0-9.-]{1,63})_([A-Za-z0-9-]{16,128})")
_SECRET_BYTES = 24
_SALT_BYTES = 16


def hash_secret(salt: str, secret: str) -> str:
    """Return the salted hash of a secret as hexadecimal digits.

    Notes
    -----
    Secrets are long and random, so a fast keyed hash is sufficient: dictionary attacks
    do not apply.
    """
    digest = hashlib.blake2b(secret.encode(), key=salt.encode(), digest_size=32)
    return digest.hexdigest()


def make_key(name: str, workspace: str, budget: str) -> tuple[str, ApiKey]:
    """Create a bearer key and the ApiKey object that authorizes it."""
    secret = secrets.token_hex(_SECRET_BYTES)
    salt = secrets.token_hex(_SALT_BYTES)
    key = ApiKey(workspace=workspace, budget=budget, salt=salt, digest=hash_secret(salt, secret))
    return f"wr_{name}_{secret}", key


def parse_key_name(bearer: str) -> str | None:
    """Return the name of the ApiKey object that a bearer key refers to, None if malformed."""
    match = KEY_PATTERN.fullmatch(bearer)
    return match.group(1) if match else None


def verify_key(bearer: str, key: ApiKey) -> bool:
    """Return whether the secret of a bearer key matches the stored hash."""
    match = KEY_PATTERN.fullmatch(bearer)
    if match is None:
        return False
    return hmac.compare_digest(hash_secret(key.salt, match.group(2)), key.digest)
