"""Peers without the fleet key or a certificate are refused; logs contain no secrets."""

import asyncio
import contextlib
import datetime
import ipaddress

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from grpclib.client import Channel

from tests.support import FLEET_KEY, start_fleet, wait_until
from whinrack.peers._pb import peer_pb2
from whinrack.peers._pb.peer_grpc import PeerStub


def refused_peer_count(fleet, router):
    return fleet.nonzero_metrics(router).get('whinrack_peer_refused_total{reason="fleet_key"}', 0)


def test_a_peer_with_another_key_is_refused_and_counted():
    with start_fleet(routers=2, engines=()) as fleet:
        stranger = fleet.start_router("stranger", peer={"fleet_key": "another-key-of-some-length"})
        wait_until(lambda: refused_peer_count(fleet, fleet.routers[0]) > 0)
        assert "stranger" not in fleet.status(fleet.routers[0])["members"]
        assert fleet.is_ready(stranger)


def test_neither_keys_nor_prompts_reach_the_logs():
    with start_fleet(routers=2, settings={"logs": {"level": "DEBUG", "format": "json"}}) as fleet:
        for router in fleet.routers:
            fleet.caller.chat(router, text="a secret sentence", key="idem-secret")
        fleet.caller.chat(fleet.routers[0], text="a secret sentence", max_tokens=-1)
        for router in fleet.routers:
            router.stop()
            text = router.log.read_text()
            assert "secret" not in text
            assert FLEET_KEY not in text
            assert fleet.caller.bearer not in text
            assert '"event":1001' in text


@pytest.fixture
def certificates(tmp_path):
    """Write a certificate authority, a certificate signed by it and its private key."""
    authority_key, authority = _make_certificate("fleet", None, None)
    key, certificate = _make_certificate("router", authority_key, authority)
    paths = {name: tmp_path / f"{name}.pem" for name in ("authority", "certificate", "private_key")}
    paths["authority"].write_bytes(authority.public_bytes(serialization.Encoding.PEM))
    paths["certificate"].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths["private_key"].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return {name: str(path) for name, path in paths.items()}


def test_mutual_tls_accepts_only_peers_with_a_certificate(certificates):
    with start_fleet(routers=2, engines=(), settings={"peer": certificates}) as fleet:
        for router in fleet.routers:
            assert len(fleet.status(router)["members"]) == 1
        plain = dict.fromkeys(certificates, "")
        stranger = fleet.start_router("stranger", peer=plain)
        fleet.caller.post(stranger)
        assert fleet.status(stranger)["members"] == []
        assert "stranger" not in fleet.status(fleet.routers[0])["members"]


def _make_certificate(name, issuer_key, issuer):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    names = [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject if issuer is None else issuer.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
    )
    return key, builder.sign(issuer_key or key, hashes.SHA256())


def test_a_feed_does_not_reply_continuously_to_a_follower_that_is_ahead():
    """When eight routers started at once, the feed sent replies without a pause."""

    async def count_feed_messages(address):
        host, _, port = address.partition(":")
        channel = Channel(host, int(port))
        try:
            request = peer_pb2.FeedRequest(since=10**9)
            async with PeerStub(channel).Feed.open(
                metadata={"whinrack-fleet-key": FLEET_KEY}
            ) as stream:
                await stream.send_message(request, end=True)
                count = 0
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.5):
                        while await stream.recv_message() is not None:
                            count += 1
                await stream.cancel()
                return count
        finally:
            channel.close()

    with start_fleet(routers=1, engines=()) as fleet:
        router = fleet.routers[0]
        assert asyncio.run(count_feed_messages(router.peer_address)) <= 4
        assert router.call("GET", "/readyz", timeout=2.0).status == 200
