"""TLS for every listener and mutual TLS between peers, reloaded while running.

The files are read again each `reload_s` seconds. New connections use what was
read last; open ones go on with what they began with. Files that don't fit each
other, as while they are being replaced, are reported and the old ones stay.
"""

import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import grpc

from monsoongap.settings import TlsSection
from monsoongap.timers import Subscription, TimerService

log = logging.getLogger(__name__)


class TlsFault(Exception):
    """The certificate files can't be used; tells which and why."""


@dataclass(frozen=True, slots=True, repr=False)
class _Material:
    """The bytes of the files; never printed, since one is the private key."""

    certificate: bytes
    key: bytes
    ca: bytes


@dataclass(frozen=True, slots=True, repr=False)
class _Loaded:
    """Files that fit each other, with the contexts made from them."""

    material: _Material
    server: ssl.SSLContext
    client: ssl.SSLContext


class TlsFiles:
    """The certificates named by the settings, and contexts that follow them.

    Raises `TlsFault` at construction when the named files can't be used, since a
    host must not start without the protection that it was told to have.
    """

    def __init__(self, cfg: TlsSection, timers: TimerService) -> None:
        self._cfg = cfg
        self._timers = timers
        self._changed: list[Callable[[], None]] = []
        self._reported = ""
        self._loaded: _Loaded | None = None
        self._listening: ssl.SSLContext | None = None
        self._subscription: Subscription | None = None
        if self.enabled:
            self._loaded = _load(cfg, _read(cfg))
            self._listening = self._loaded.server
            self._listening.sni_callback = self._choose_context

    @property
    def enabled(self) -> bool:
        """Tell whether the settings name certificates."""
        return bool(self._cfg.certificate or self._cfg.key or self._cfg.ca)

    def start(self) -> None:
        """Watch the files; does nothing without certificates."""
        if self.enabled and self._subscription is None:
            self._subscription = self._timers.every(
                self._cfg.reload_s, self.reload, "tls-reload"
            )

    def close(self) -> None:
        """Stop watching."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call `changed` after new files were taken up."""
        self._changed.append(changed)

    def server_context(self) -> ssl.SSLContext | None:
        """Return the one context of this process's listeners, None without TLS.

        It takes up new files by itself, for connections that come after.
        """
        return self._listening

    def client_context(self) -> ssl.SSLContext | None:
        """Return a context to connect with the files as they are now.

        It trusts the settings' CA alone and shows this host's certificate.
        """
        return self._loaded.client if self._loaded else None

    def grpc_server_credentials(self) -> Any:
        """Return `grpc.ServerCredentials` that follow the files.

        A peer must show a certificate that the CA signed. gRPC asks at each
        handshake, from a thread of its own, whether there are new files.
        """
        if self._loaded is None:
            return None
        return grpc.dynamic_ssl_server_credentials(
            self._fetch_configuration(),
            self._fetch_configuration,
            require_client_authentication=True,
        )

    def grpc_channel_credentials(self) -> Any:
        """Return `grpc.ChannelCredentials` from the files as they are now.

        A channel keeps what it was opened with: open a new one after a change.
        """
        if self._loaded is None:
            return None
        held = self._loaded.material
        return grpc.ssl_channel_credentials(held.ca, held.key, held.certificate)

    def reload(self) -> None:
        """Take up the files if they changed and fit each other."""
        held = self._loaded.material if self._loaded else None
        try:
            found = _read(self._cfg)
            if found == held:
                self._reported = ""
            else:
                self._take(_load(self._cfg, found))
        except TlsFault as exc:
            self._report(str(exc))

    def _take(self, loaded: _Loaded) -> None:
        self._loaded = loaded
        self._reported = ""
        log.info("certificates taken up", extra={"certificate": self._cfg.certificate})
        for changed in self._changed:
            try:
                changed()
            except Exception:
                log.exception("certificate subscriber failed")

    def _report(self, reason: str) -> None:
        """Log why new files are not used, once for as long as it stays."""
        if reason != self._reported:
            log.error("certificates not taken up", extra={"reason": reason})
        self._reported = reason

    def _choose_context(
        self, conn: ssl.SSLObject | ssl.SSLSocket, _name: str, _: ssl.SSLContext
    ) -> None:
        """Let a handshake that begins now use the files that were read last."""
        if self._loaded is not None:
            conn.context = self._loaded.server

    def _fetch_configuration(self) -> Any:
        if self._loaded is None:
            return None
        held = self._loaded.material
        pairs = [(held.key, held.certificate)]
        return grpc.ssl_server_certificate_configuration(pairs, held.ca)


def _server_context(cfg: TlsSection) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cfg.certificate, cfg.key)
    return context


def _client_context(cfg: TlsSection, ca: str) -> ssl.SSLContext:
    context = ssl.create_default_context(cadata=ca)
    context.load_cert_chain(cfg.certificate, cfg.key)
    return context


def _read(cfg: TlsSection) -> _Material:
    return _Material(
        certificate=_read_file("certificate", cfg.certificate),
        key=_read_file("key", cfg.key),
        ca=_read_file("ca", cfg.ca),
    )


def _read_file(name: str, path: str) -> bytes:
    if not path:
        raise TlsFault(
            f"[tls] {name} is not set, certificate, key and ca belong together"
        )
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise TlsFault(f"[tls] {name}: {exc}") from exc


def _load(cfg: TlsSection, found: _Material) -> _Loaded:
    """Make contexts of the files, which held `found`; raises `TlsFault`."""
    try:
        server = _server_context(cfg)
        client = _client_context(cfg, found.ca.decode("ascii"))
    except (OSError, ValueError) as exc:
        raise TlsFault(f"[tls] the files do not fit: {exc}") from exc
    if _read(cfg) != found:
        raise TlsFault("[tls] the files are being replaced")
    return _Loaded(found, server, client)
