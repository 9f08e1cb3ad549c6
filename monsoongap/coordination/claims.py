"""Claims of callers' own keys: who decides them and how claims get there.

Each key belongs to a bucket with a stream of its own. The hosts of a data centre
hand the claims of a bucket to one of them, chosen by rendezvous hashing, which
appends them in batches and alone follows the stream. Hosts that disagree on the
choice only append more often: the stream's order decides, whoever appends.
"""

import asyncio
import logging
from dataclasses import dataclass

from monsoongap.coordination.claim_batch import BucketBatcher, log_out
from monsoongap.coordination.parts import Directory, HostIdentity, PeerStatus
from monsoongap.coordination.ports import LogPort, PeerPort
from monsoongap.errors import DispatchError, LogUnavailable, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers, PeerMethod
from monsoongap.settings import ClaimsSection
from monsoongap.state.claims import ClaimRecord, ClaimTable, key_hash
from monsoongap.timers import Subscription, TimerService
from monsoongap.util import rendezvous

log = logging.getLogger(__name__)

MAX_CALLS_PER_PEER = 4
MAX_CLAIMS_PER_CALL = 200
CATCH_UP_S = 2.0
HAND_OVER_TIMEOUT_S = 1.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Claims handed to the host that batches for their buckets."""

    claims: tuple[ClaimRecord, ...]
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The winning claim of a key, or None when the log did not tell in time."""

    winner: ClaimRecord | None = None


@dataclass(frozen=True, slots=True)
class ClaimVerdicts:
    """One verdict per claim of a batch, in order."""

    verdicts: tuple[ClaimVerdict, ...]


@dataclass(frozen=True, slots=True)
class ClaimLookup:
    """Asks who holds a key."""

    key: str
    timeout_ms: int


CLAIM = PeerMethod("claims.batch", ClaimBatch, ClaimVerdicts)
LOOKUP = PeerMethod("claims.lookup", ClaimLookup, ClaimVerdict)


@dataclass(slots=True, eq=False)
class _Handed:
    claim: ClaimRecord
    until: float
    verdict: asyncio.Future[ClaimVerdict]


class ClaimDesk:
    """Gets claims decided, here or at the peer that batches for their bucket."""

    def __init__(
        self,
        cfg: ClaimsSection,
        identity: HostIdentity,
        directory: Directory,
        port: LogPort,
        peers: PeerPort,
        handlers: PeerHandlers,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._identity = identity
        self._directory = directory
        self._port = port
        self._peers = peers
        self._timers = timers
        self._table = ClaimTable(cfg.keep_s)
        self._batchers: dict[int, BucketBatcher] = {}
        self._waiting: dict[str, list[_Handed]] = {}
        self._calls: dict[str, set[asyncio.Task[None]]] = {}
        self._subscription: Subscription | None = None
        handlers.register(CLAIM, self._serve_batch)
        handlers.register(LOOKUP, self._serve_lookup)

    def start(self) -> None:
        """Begin to read the streams of this host's buckets now and then."""
        self._subscription = self._timers.every(CATCH_UP_S, self._catch_up, "claims")

    def close(self) -> None:
        """Stop at once."""
        if self._subscription is not None:
            self._subscription.cancel()
        for batcher in self._batchers.values():
            batcher.close()
        for calls in self._calls.values():
            for call in calls:
                call.cancel()

    def appends(self) -> int:
        """Return how many appends this host sent."""
        return sum(batcher.appends for batcher in self._batchers.values())

    def known(self) -> int:
        """Return how many claims the table holds."""
        return len(self._table)

    async def resolve(self, claim: ClaimRecord, timeout_s: float) -> ClaimRecord:
        """Return the winning claim of the key, which may be this one.

        Raises `log_unavailable` with outcome `unknown` when that can't be told
        in time; this claim may then still come to stand first in the log, and
        only its own process could ever act on it.
        """
        try:
            async with asyncio.timeout(timeout_s):
                verdict = await self._resolve(claim, timeout_s)
        except TimeoutError:
            raise log_out("the log did not confirm the claim in time") from None
        if verdict.winner is None:
            raise log_out("the log did not confirm the claim in time")
        return verdict.winner

    async def lookup(self, key: str, timeout_s: float) -> ClaimRecord | None:
        """Return the winning claim of a key, or None when it is unclaimed."""
        batcher = self._choose(key)
        if batcher != self._identity.name:
            request = ClaimLookup(key, round(timeout_s * MS_PER_S))
            try:
                reply = await self._peers.call(batcher, LOOKUP, request, timeout_s)
                return reply.winner
            except PeerUnreachable:
                pass
        try:
            async with asyncio.timeout(timeout_s):
                return await self._batcher(key).lookup(key)
        except (TimeoutError, LogUnavailable):
            raise log_out("the log does not answer") from None

    async def _resolve(self, claim: ClaimRecord, timeout_s: float) -> ClaimVerdict:
        batcher = self._choose(claim.key)
        if batcher != self._identity.name:
            try:
                return await self._hand_over(batcher, claim, timeout_s)
            except PeerUnreachable:
                log.info(
                    "claim kept",
                    extra={"submission": claim.key, "reason": f"{batcher} is away"},
                )
        return ClaimVerdict(await self._batcher(claim.key).resolve(claim))

    async def _hand_over(
        self, host: str, claim: ClaimRecord, timeout_s: float
    ) -> ClaimVerdict:
        """Join the next call to a peer; claims gather while calls are under way."""
        verdict = asyncio.get_running_loop().create_future()
        handed = _Handed(claim, self._timers.now() + timeout_s, verdict)
        self._waiting.setdefault(host, []).append(handed)
        calls = self._calls.setdefault(host, set())
        if len(calls) < MAX_CALLS_PER_PEER:
            call = asyncio.create_task(self._call(host))
            calls.add(call)
            call.add_done_callback(calls.discard)
        return await verdict

    async def _call(self, host: str) -> None:
        """Hand claims over until none wait."""
        while waiting := self._waiting.get(host):
            batch = waiting[:MAX_CLAIMS_PER_CALL]
            del waiting[:MAX_CLAIMS_PER_CALL]
            batch = [item for item in batch if not item.verdict.done()]
            if not batch:
                continue
            left_s = max(item.until for item in batch) - self._timers.now()
            left_s = min(left_s, HAND_OVER_TIMEOUT_S)
            claims = tuple(item.claim for item in batch)
            request = ClaimBatch(claims, max(1, round(left_s * MS_PER_S)))
            try:
                reply = await self._peers.call(host, CLAIM, request, max(left_s, 0.1))
            except (PeerUnreachable, DispatchError) as exc:
                _fail(batch, exc)
                continue
            for item, verdict in zip(batch, reply.verdicts, strict=False):
                if not item.verdict.done():
                    item.verdict.set_result(verdict)
            _fail(batch, PeerUnreachable("a verdict is missing"))

    async def _serve_batch(self, request: ClaimBatch) -> ClaimVerdicts:
        """Decide claims of a peer; one without a verdict in time gets None."""
        work = [
            asyncio.ensure_future(self._batcher(claim.key).resolve(claim))
            for claim in request.claims
        ]
        try:
            await asyncio.wait(work, timeout=request.timeout_ms / MS_PER_S)
        finally:
            for item in work:
                item.cancel()
        return ClaimVerdicts(tuple(_verdict(item) for item in work))

    async def _serve_lookup(self, request: ClaimLookup) -> ClaimVerdict:
        try:
            async with asyncio.timeout(request.timeout_ms / MS_PER_S):
                return ClaimVerdict(
                    await self._batcher(request.key).lookup(request.key)
                )
        except (TimeoutError, LogUnavailable):
            raise log_out("the log does not answer") from None

    async def _catch_up(self) -> None:
        me = self._identity.name
        for bucket, batcher in tuple(self._batchers.items()):
            if self._choose_for(bucket) == me:
                try:
                    await batcher.catch_up()
                except LogUnavailable:
                    return

    def _bucket(self, key: str) -> int:
        return key_hash(key) % self._cfg.buckets

    def _batcher(self, key: str) -> BucketBatcher:
        bucket = self._bucket(key)
        batcher = self._batchers.get(bucket)
        if batcher is None:
            batcher = BucketBatcher(
                self._cfg,
                bucket,
                self._port,
                self._table,
                self._timers,
                self._min_period_s,
            )
            self._batchers[bucket] = batcher
        return batcher

    def _min_period_s(self) -> float:
        """Return how far apart appends to one bucket must be.

        Each data centre appends to each bucket, and all share one log.
        """
        dcs = {peer.dc for peer in self._directory.peers()} | {self._identity.dc}
        return len(dcs) * self._cfg.buckets / self._cfg.appends_per_s

    def _choose(self, key: str) -> str:
        return self._choose_for(self._bucket(key))

    def _choose_for(self, bucket: int) -> str:
        """Return the host of this data centre that batches for a bucket."""
        hosts = [
            peer.name
            for peer in self._directory.peers()
            if peer.dc == self._identity.dc and peer.status is PeerStatus.LIVE
        ]
        return rendezvous.choose(str(bucket), [*hosts, self._identity.name])


def _verdict(work: "asyncio.Future[ClaimRecord]") -> ClaimVerdict:
    if not work.done() or work.cancelled() or work.exception() is not None:
        return ClaimVerdict()
    return ClaimVerdict(work.result())


def _fail(batch: list[_Handed], exc: Exception) -> None:
    for item in batch:
        if not item.verdict.done():
            item.verdict.set_exception(exc)
