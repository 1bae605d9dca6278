"""Manifests that entry hosts fetch from each other."""

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
from rhubarbway.services.log import part_logger
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, PEERS
from rhubarbway.services.peers import PeerService

# A manifest of the target size takes about a second between hosts; a silent one is left soon.
MANIFEST_TIMEOUT_S = 2.0


class ManifestExchange:
    """Fetches the manifest of another host, one at a time, and serves the own one."""

    __slots__ = ("bytes_moved", "fetch_lock", "frontend", "log", "manifest", "peers")

    def __init__(self) -> None:
        self.bytes_moved = 0
        self.fetch_lock = threading.Lock()
        self.log = part_logger("peers")
        self.frontend: FrontendService
        self.manifest: ManifestService
        self.peers: PeerService

    def start(self, kernel: Kernel) -> None:
        """Register the route."""
        self.manifest = kernel.find(MANIFEST)
        self.frontend = kernel.find(FRONTEND)
        self.peers = kernel.find(PEERS)
        self.frontend.add_route("GET", "/v1/peer/manifest", self.answer)

    def stop(self) -> None:
        """Hold nothing open: fetches run in the tasks of the peer service."""

    def fetch_once(self, host: EntryHost, order: tuple[int, str]) -> None:
        """Fetch the manifest of a host that is no neighbour."""
        connection = HttpConnection(address=host.address)
        self.fetch(connection, host.name, order)
        connection.close()

    def fetch(self, connection: HttpConnection, name: str, order: tuple[int, str]) -> None:
        """Fetch the manifest of another host if no other task does; try the next host on error."""
        if not self.fetch_lock.acquire(blocking=False):
            return
        try:
            if order <= self.manifest.held_order:
                return
            have, digest = self.manifest.held_order
            path = f"/v1/peer/manifest?have={have}&digest={digest}"
            fetched = self.offer_fetched(connection, path, name)
            if not fetched and have:
                path = "/v1/peer/manifest?have=0"
                fetched = self.offer_fetched(connection, path, name)
            if not fetched:
                raise MessageError(f"version {order[0]} is not accepted here")
        except (CallError, MessageError) as error:
            self.log.warning("Manifest not fetched.", host=name, error=str(error))
            self.peers.forget_order(name)
        finally:
            self.fetch_lock.release()
        for link in self.peers.links_ahead(self.manifest.held_order):
            if link.name != name:
                link.wake(fetch=True)

    def offer_fetched(self, connection: HttpConnection, path: str, name: str) -> bool:
        """Request a manifest and offer it; return whether it or a greater one is held now."""
        reply = connection.call("GET", path, None, timeout_s=MANIFEST_TIMEOUT_S)
        if reply.status != 200:
            raise MessageError(f"status {reply.status}")
        self.bytes_moved += len(reply.body)
        body = gossip_wire.manifest_from_json(reply.body)
        if body.base:
            self.manifest.offer_delta(
                base=body.base, patch=bytes(body.patch), digest=body.digest, source=name
            )
        else:
            self.manifest.offer(bytes(body.document), source=name)
        return self.manifest.held_order >= (body.version, body.digest)

    def answer(self, request: Request) -> Response:
        """Return the manifest held, as a delta if the version that the reader has is kept."""
        have = request.args.get("have", 0, type=int)
        delta = self.manifest.delta_from(have, request.args.get("digest", ""))
        if delta is not None:
            latest, patch = delta
            body = gossip_wire.ManifestBody(
                version=latest.version, digest=latest.digest, base=have, patch=msgspec.Raw(patch)
            )
        elif self.manifest.kept:
            latest = self.manifest.kept[-1]
            body = gossip_wire.ManifestBody(
                version=latest.version, digest=latest.digest, document=msgspec.Raw(latest.document)
            )
        else:
            return self.frontend.respond_to_bad_request(404, "no manifest is held")
        data = encode_json(body)
        self.bytes_moved += len(data)
        return Response(data, content_type=JSON_CONTENT_TYPE)
