"""The platform's listeners: operators, the worker on this host, and the readiness question."""

from __future__ import annotations

from pathlib import Path

from aiohttp import web

from cowslipvane.call import HeaderNames
from cowslipvane.catalogue import Accepted, Conflict, Invalid, Release
from cowslipvane.platform._configuration import decode_configuration
from cowslipvane.platform._settings import PlatformSettings, file_stamp, load
from cowslipvane.platform._workers import decode_announcement
from cowslipvane.settings import Settings
from cowslipvane.tasks import (
    Components,
    HttpListener,
    NoRelease,
    NotLeader,
    Owner,
    Releases,
    Unknown,
)
from cowslipvane.types import Address, HostName

HEADER_NAMES = HeaderNames(
    request_id="Attempt-Id",
    accepts_request_ids=True,
    timeout_ms="Deadline-Ms",
    origin_service="Caller-Service",
    expected_instance="Expected-Instance",
    not_run="Not-Executed",
    owner="",
)
_PUT = "/api/Config.Replace"
_GET = "/api/Config.Get"
_READY = "/api/readyz"
_HEARTBEAT = "/api/Instances.Heartbeat/"
_DEREGISTER = "/api/Instances.Deregister/"


class PlatformFrontEnd:
    """Translates the platform's calls to the parts of a process."""

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
        """Return the platform's names of header fields."""
        return HEADER_NAMES

    def has_new_settings(self) -> bool:
        """Return whether the settings file was written since it was last read."""
        return file_stamp(self._path) != self._stamp

    def reload(self) -> Settings:
        """Read the settings again."""
        # A change between the two is seen by the next look at the file.
        self._stamp = file_stamp(self._path)
        self._settings = load(self._path)
        return self._settings.product

    def listeners(self, components: Components) -> list[HttpListener]:
        """Return the listeners of the process's roles."""
        control = _Control(components=components, address=self._settings.control)
        found = [HttpListener(handler=control.handle, address=self._settings.control)]
        readiness = self._settings.readiness
        if readiness is not None:
            found.append(HttpListener(handler=control.answer_readiness, address=readiness))
        return found


class _Control:
    """Answers the platform's control calls."""

    def __init__(self, *, components: Components, address: Address) -> None:
        self._parts = components
        self._address = address

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one call by method and path."""
        releases, owner = self._parts.releases, self._parts.owner
        try:
            match http.method, http.path:
                case "POST", path if path == _PUT and releases is not None:
                    return await self._put(releases, http)
                case "GET", path if path == _GET and releases is not None:
                    return self._get(releases, http)
                case "POST", path if path.startswith(_HEARTBEAT) and owner is not None:
                    return await self._hear(owner, http, path.removeprefix(_HEARTBEAT))
                case "POST", path if path.startswith(_DEREGISTER) and owner is not None:
                    await owner.handle_departure(path.removeprefix(_DEREGISTER))
                    return web.Response()
                case _:
                    return web.Response(status=404)
        except web.HTTPRequestEntityTooLarge:
            return _failure(413, "the body is too large")
        except ValueError as error:
            return _failure(400, str(error))

    async def answer_readiness(self, http: web.BaseRequest) -> web.StreamResponse:
        """Say whether callers may be sent to this process."""
        if http.path != _READY:
            return web.Response(status=404)
        return web.Response(status=200 if self._parts.is_ready() else 503)

    async def _put(self, releases: Releases, http: web.BaseRequest) -> web.StreamResponse:
        """Put a whole configuration in place."""
        decoded = decode_configuration(await http.read())
        match await releases.put(decoded.release, decoded.resources):
            case Accepted():
                return web.Response()
            case Conflict():
                return _failure(412, "another version is in place")
            case Invalid(faults=faults):
                return _failure(400, "; ".join(f"{it.path} {it.message}" for it in faults))
            case NotLeader(leader=leader):
                return self._redirect(http, leader)
            case Unknown():
                return _failure(503, "the outcome isn't known yet; send the same again")

    def _get(self, releases: Releases, http: web.BaseRequest) -> web.StreamResponse:
        """Return the newest configuration as it was put."""
        match releases.newest():
            case Release(document=document):
                return web.Response(text=document, content_type="application/json")
            case NoRelease():
                return _failure(503, "no configuration was accepted yet")
            case NotLeader(leader=leader):
                return self._redirect(http, leader)

    async def _hear(self, owner: Owner, http: web.BaseRequest, instance: str) -> web.StreamResponse:
        """Take a worker's heartbeat."""
        await owner.handle_announcement(decode_announcement(instance, await http.read()))
        return web.json_response({})

    def _redirect(self, http: web.BaseRequest, leader: HostName | None) -> web.StreamResponse:
        """Send a caller on to the leader, or let it try another process."""
        if leader is None or leader == self._address.ip:
            return _failure(503, "no leader is known here now")
        # A replica is named by its IP, and the port is the same on all machines.
        location = f"http://{Address(leader, self._address.port)}{http.path_qs}"
        return web.Response(status=307, headers={"Location": location})


def _failure(status: int, reason: str) -> web.Response:
    """Return an answer that says why a call failed."""
    return web.json_response({"reason": reason}, status=status)
