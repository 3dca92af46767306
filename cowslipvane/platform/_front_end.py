"""The platform's listeners, for operators, the worker on this host and readiness checks."""

from __future__ import annotations

from pathlib import Path

from aiohttp import web

from cowslipvane.call import HeaderNames
from cowslipvane.catalogue import Accepted, Conflict, Invalid, Release, Rollout
from cowslipvane.platform._configuration import decode_configuration
from cowslipvane.platform._rollouts import decode_rollout, rollout_form
from cowslipvane.platform._settings import PlatformSettings, file_stamp, load
from cowslipvane.platform._workers import decode_announcement, decode_start
from cowslipvane.settings import Settings
from cowslipvane.tasks import (
    Components,
    Derivation,
    HttpListener,
    InProgress,
    NoRelease,
    NoRollout,
    NoService,
    NotLeader,
    Owner,
    Releases,
    Rollouts,
    Unknown,
)
from cowslipvane.types import Address, HostName, ServiceName

HEADER_NAMES = HeaderNames(
    request_id="Attempt-Id",
    accepts_request_ids=True,
    requires_request_id=True,
    timeout_ms="Deadline-Ms",
    origin_service="Caller-Service",
    team="Tenant",
    expected_instance="Expected-Instance",
    workers_echo_ids=True,
    not_run="Not-Executed",
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
    owner="",
)
_CONFIG_REPLACE_PATH = "/api/Config.Replace"
_CONFIG_GET_PATH = "/api/Config.Get"
_ROLLOUT_START_PATH = "/api/Rollouts.Start"
_ROLLOUT_GET_PATH = "/api/Rollouts.Get/"
_READINESS_PATH = "/api/readyz"
_HEARTBEAT_PATH = "/api/Instances.Heartbeat/"
_DEREGISTER_PATH = "/api/Instances.Deregister/"
_NOT_KEPT = (
    "the worker gets no new work, but no majority of the replicas has recorded it; repeat it"
)


class PlatformFrontEnd:
    """Translates the platform's API calls to the components of a process."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._stamp = file_stamp(path)
        self._settings: PlatformSettings = load(path)

    @property
    def settings(self) -> Settings:
        """Return the product's settings."""
        return self._settings.product

    @property
    def header_names(self) -> HeaderNames:
        """Return the header names of the platform."""
        return HEADER_NAMES

    @property
    def unread_settings(self) -> tuple[str, ...]:
        """Return the bounds and parts of the rules that this build doesn't keep to."""
        return self._settings.unread

    def has_new_settings(self) -> bool:
        """Return whether the settings file was written since it was last read."""
        return file_stamp(self._path) != self._stamp

    def reload(self) -> Settings:
        """Read the settings again."""
        # The stamp comes first, so that the next check sees a change made during the read.
        self._stamp = file_stamp(self._path)
        self._settings = load(self._path)
        return self._settings.product

    def derive(self, document: str) -> Derivation:
        """Decode a configuration again, which an earlier build may have accepted."""
        decoded = decode_configuration(document.encode())
        return Derivation(decoded.resources, decoded.unread)

    def listeners(self, components: Components) -> list[HttpListener]:
        """Return the listeners of the process's roles."""
        control = _Control(
            components=components,
            address=self._settings.control,
            own_ip=self.settings.listen.peers.ip,
        )
        listeners = [HttpListener(handler=control.handle, address=self._settings.control)]
        readiness = self._settings.readiness
        if readiness is not None:
            listeners.append(HttpListener(handler=control.handle_readiness, address=readiness))
        return listeners


class _Control:
    """Serves the platform's control API."""

    def __init__(self, *, components: Components, address: Address, own_ip: str) -> None:
        self._components = components
        self._address = address
        self._own_ip = own_ip

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Dispatch one request by method and path."""
        releases, rollouts = self._components.releases, self._components.rollouts
        owner = self._components.owner
        try:
            match http.method, http.path:
                case "POST", path if path == _CONFIG_REPLACE_PATH and releases is not None:
                    return await self._replace_configuration(releases, http)
                case "GET", path if path == _CONFIG_GET_PATH and releases is not None:
                    return self._get_configuration(releases, http)
                case "POST", path if path == _ROLLOUT_START_PATH and rollouts is not None:
                    return await self._start_rollout(rollouts, http)
                case "GET", path if path.startswith(_ROLLOUT_GET_PATH) and rollouts is not None:
                    service = ServiceName(path.removeprefix(_ROLLOUT_GET_PATH))
                    return self._get_rollout(rollouts, http, service)
                case "POST", path if path.startswith(_HEARTBEAT_PATH) and owner is not None:
                    return await self._handle_heartbeat(
                        owner, http, path.removeprefix(_HEARTBEAT_PATH)
                    )
                case "POST", path if path.startswith(_DEREGISTER_PATH) and owner is not None:
                    return await self._handle_departure(
                        owner, http, path.removeprefix(_DEREGISTER_PATH)
                    )
                case _:
                    return web.Response(status=404)
        except web.HTTPRequestEntityTooLarge:
            return _failure(413, "the body is too large")
        except ValueError as error:
            return _failure(400, str(error))

    async def handle_readiness(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond with whether callers may send requests to this process."""
        if http.path != _READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._components.is_ready() else 503)

    async def _replace_configuration(
        self, releases: Releases, http: web.BaseRequest
    ) -> web.StreamResponse:
        """Replace the whole configuration."""
        decoded = decode_configuration(await http.read())
        match await releases.put(decoded.release, decoded.resources, unread=decoded.unread):
            case Accepted():
                return _acknowledgement(decoded.unread)
            case Conflict():
                return _failure(412, "another version is in place")
            case Invalid(faults=faults):
                return _failure(400, "; ".join(f"{fault.path} {fault.message}" for fault in faults))
            case NotLeader(leader=leader):
                return self._redirect(http, leader)
            case Unknown():
                return _failure(503, "the outcome isn't known yet; send the same again")

    def _get_configuration(self, releases: Releases, http: web.BaseRequest) -> web.StreamResponse:
        """Return the newest configuration, as the document that was sent."""
        match releases.newest():
            case Release(document=document):
                return web.Response(text=document, content_type="application/json")
            case NoRelease():
                return _failure(503, "no configuration was accepted yet")
            case NotLeader(leader=leader):
                return self._redirect(http, leader)

    async def _start_rollout(self, rollouts: Rollouts, http: web.BaseRequest) -> web.StreamResponse:
        """Begin a rollout, or acknowledge it again."""
        order = decode_rollout(await http.read())
        match await rollouts.start(
            order.service, target_version=order.target_version, duration=order.duration
        ):
            case Rollout():
                return _acknowledgement(order.unread)
            case InProgress(rollout=running):
                return _failure(409, f"the rollout of {running.target_version} is running")
            case NoService():
                return _failure(400, f"no service {order.service!r:.80} is known")
            case Invalid(faults=faults):
                return _failure(400, "; ".join(f"{fault.path} {fault.message}" for fault in faults))
            case NotLeader(leader=leader):
                return self._redirect(http, leader)
            case Unknown():
                return _failure(503, "the outcome isn't known yet; send the same again")

    def _get_rollout(
        self, rollouts: Rollouts, http: web.BaseRequest, service: ServiceName
    ) -> web.StreamResponse:
        """Return the newest rollout of a service."""
        match rollouts.get(service):
            case Rollout() as rollout:
                return web.json_response(rollout_form(rollout))
            case NoRollout():
                return _failure(404, f"there was no rollout of {service!r:.80}")
            case NotLeader(leader=leader):
                return self._redirect(http, leader)

    async def _handle_heartbeat(
        self, owner: Owner, http: web.BaseRequest, instance: str
    ) -> web.StreamResponse:
        """Handle a worker's heartbeat."""
        announcement = decode_announcement(instance, await http.read())
        address = announcement.worker.address
        if address.ip != self._own_ip:
            raise ValueError(f"found address {address}; allowed is one of this host")
        if not await owner.handle_announcement(announcement):
            return _failure(503, _NOT_KEPT)
        return web.json_response({})

    async def _handle_departure(
        self, owner: Owner, http: web.BaseRequest, instance: str
    ) -> web.StreamResponse:
        """Handle a worker's report that it leaves."""
        if not await owner.handle_departure(instance, decode_start(await http.read())):
            return _failure(503, _NOT_KEPT)
        return web.Response()

    def _redirect(self, http: web.BaseRequest, leader: HostName | None) -> web.StreamResponse:
        """Redirect to the leader, or fail so that the sender tries another process."""
        if leader is None or leader == self._address.ip:
            return _failure(503, "no leader is known here now")
        # A replica is named by its IP, and the port is the same on all machines.
        location = f"http://{Address(leader, self._address.port)}{http.path_qs}"
        return web.Response(status=307, headers={"Location": location})


def _acknowledgement(unread: tuple[str, ...]) -> web.Response:
    """Return a response that names the parts of a document that aren't acted on, if any."""
    return web.json_response({"unread": unread}) if unread else web.Response()


def _failure(status: int, reason: str) -> web.Response:
    """Return an error response with its reason."""
    return web.json_response({"reason": reason}, status=status)
