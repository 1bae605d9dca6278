"""Transfer of manifests between entry hosts, as whole documents or deltas."""

from __future__ import annotations

import threading

import msgspec
from werkzeug.wrappers import Request, Response

from rhubarbway.edge import gossip_wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import encode_json
from rhubarbway.edge.wire import MessageError
from rhubarbway.kernel import Kernel
from rhubarbway.model import EntryHost
from rhubarbway.services.frontend import JSON_CONTENT_TYPE, FrontendService
from rhubarbway.services.log import component_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, PEERS
from rhubarbway.services.peers import PeerService

# The transfer of a manifest of the target size takes about a second. A longer timeout would extend
# the wait for a host that does not answer.
MANIFEST_TIMEOUT_S = 2.0


class ManifestExchange:
    """Fetches manifests from other hosts, one at a time, and serves the manifest held."""

    __slots__ = ("bytes_transferred", "fetch_lock", "frontend", "log", "manifest", "peers")

    def __init__(self) -> None:
        self.bytes_transferred = 0
        self.fetch_lock = threading.Lock()
        self.log = component_logger("peers")
        self.frontend: FrontendService
        self.manifest: ManifestService
        self.peers: PeerService

    def start(self, kernel: Kernel) -> None:
        """Register the route that serves the manifest."""
        self.manifest = kernel.find(MANIFEST)
        self.frontend = kernel.find(FRONTEND)
        self.peers = kernel.find(PEERS)
        self.frontend.add_route("GET", "/v1/peer/manifest", self.answer_manifest)

    def stop(self) -> None:
        """Do nothing: fetches run in the tasks of the peer service."""

    def fetch_from_host(self, host: EntryHost, version_key: tuple[int, str]) -> None:
        """Fetch the manifest of a host that is no neighbour, over a connection of its own."""
        connection = HttpConnection(address=host.address)
        self.fetch(connection, host.name, version_key)
        connection.close()

    def fetch(self, connection: HttpConnection, name: str, version_key: tuple[int, str]) -> None:
        """Fetch the manifest of another host, unless another task is fetching one.

        Afterwards, wakes the links to other neighbours that hold a higher version, so that they
        fetch it, also after an error.
        """
        if not self.fetch_lock.acquire(blocking=False):
            return
        try:
            if version_key <= self.manifest.held_version_key:
                return
            have, digest = self.manifest.held_version_key
            path = f"/v1/peer/manifest?have={have}&digest={digest}"
            fetched = self.fetch_and_offer(connection, path, name, version_key)
            if not fetched and have:
                path = "/v1/peer/manifest?have=0"
                fetched = self.fetch_and_offer(connection, path, name, version_key)
            if not fetched:
                raise MessageError(f"manifest version {version_key[0]} was not accepted")
        except (CallError, MessageError) as error:
            # A wrong reply may belong to an earlier request, and the one to this may follow.
            connection.disconnect()
            self.log.warning("Fetching the manifest failed.", host=name, error=str(error))
            self.peers.forget_version_key(name)
        finally:
            self.fetch_lock.release()
        for link in self.peers.links_ahead(self.manifest.held_version_key):
            if link.name != name:
                link.wake(fetch=True)

    def fetch_and_offer(
        self, connection: HttpConnection, path: str, name: str, version_key: tuple[int, str]
    ) -> bool:
        """Fetch a manifest and offer it; return whether it or a greater one is held now.

        An earlier version than ``version_key``, which the host has announced, is offered as well: a
        starting host announces versions that it does not hold yet. But it may also be a second copy
        of an earlier reply, so the connection is not used again.
        """
        reply = connection.call("GET", path, None, timeout_s=MANIFEST_TIMEOUT_S)
        if reply.status != 200:
            raise MessageError(f"HTTP status {reply.status} instead of 200")
        self.bytes_transferred += len(reply.body)
        body = gossip_wire.manifest_from_json(reply.body)
        if (body.version, body.digest) < version_key:
            connection.disconnect()
            self.peers.forget_version_key(name)
        if body.base:
            self.manifest.offer_delta(
                base_version=body.base, patch=bytes(body.patch), digest=body.digest, source=name
            )
        else:
            self.manifest.offer(bytes(body.document), source=name)
        return self.manifest.held_version_key >= (body.version, body.digest)

    def answer_manifest(self, request: Request) -> Response:
        """Answer with the manifest held, as a delta if the requester's version is still kept."""
        have = request.args.get("have", 0, type=int)
        delta = self.manifest.delta_from(have, request.args.get("digest", ""))
        if delta is not None:
            latest, patch = delta
            body = gossip_wire.ManifestBody(
                version=latest.version, digest=latest.digest, base=have, patch=msgspec.Raw(patch)
            )
        elif self.manifest.kept_versions:
            latest = self.manifest.kept_versions[-1]
            body = gossip_wire.ManifestBody(
                version=latest.version, digest=latest.digest, document=msgspec.Raw(latest.document)
            )
        else:
            return self.frontend.respond_to_bad_request(404, "no manifest is held")
        data = encode_json(body)
        self.bytes_transferred += len(data)
        return Response(data, content_type=JSON_CONTENT_TYPE)
