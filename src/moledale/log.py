"""Numbered log events; docs/EVENTS.md lists their numbers and meanings."""

import os
import sys
import time
from collections import deque
from enum import Enum

import logbook
import msgspec

_logger = logbook.Logger("moledale")

MAX_BUFFERED_LINES = 1_000
"""Lines kept while the reader of the log is slow; further lines are dropped."""


STDOUT = 1
"""Descriptor of standard output."""


class EventSpec(msgspec.Struct, frozen=True):
    """Number, level and meaning of an event; `meaning` is printed in docs/EVENTS.md."""

    number: int
    level: int
    meaning: str


class Event(Enum):
    """All events that are logged. Numbers are never reused; 111 is retired."""

    STARTING = EventSpec(100, logbook.INFO, "The daemon starts with these settings.")
    LISTENING = EventSpec(101, logbook.INFO, "The caller and peer addresses are bound.")
    READY = EventSpec(102, logbook.INFO, "The node confirmed the bundle head and takes requests.")
    NOT_READY = EventSpec(103, logbook.WARNING, "The node stopped taking new requests.")
    DRAINING = EventSpec(104, logbook.INFO, "A planned stop began; accepted requests go on.")
    STOPPED = EventSpec(105, logbook.INFO, "The daemon stopped.")
    ADDRESS_IN_USE = EventSpec(
        108, logbook.WARNING, "An address is not free yet; it is tried again for some seconds."
    )
    SETTINGS_AWAITED = EventSpec(
        109, logbook.WARNING, "The settings can't be read yet; they are for some seconds."
    )
    TASK_FAILED = EventSpec(110, logbook.ERROR, "A task failed and is started again after a pause.")
    UNEXPECTED_ERROR = EventSpec(
        113, logbook.ERROR, "An unexpected error ended one request, message or callback."
    )
    LOOP_REPLACED = EventSpec(
        114, logbook.WARNING, "uvloop can't be loaded; asyncio's own event loop is used."
    )
    MAILBOX_FULL = EventSpec(112, logbook.WARNING, "A mailbox was full and a message refused.")
    BUNDLE_ADOPTED = EventSpec(200, logbook.INFO, "A newer bundle version is in force here.")
    WATCH_BEGUN = EventSpec(
        205, logbook.INFO, "This node watches the store for plans, since too few others do."
    )
    BUNDLE_REFUSED = EventSpec(201, logbook.ERROR, "A bundle was refused; the old one stays.")
    BUNDLE_ROLLED = EventSpec(202, logbook.INFO, "This node moved the bundle head for operators.")
    BUNDLE_OLDER = EventSpec(203, logbook.WARNING, "A head older than the floor was ignored.")
    PEER_FETCH_FAILED = EventSpec(
        204, logbook.WARNING, "A peer's piece of a plan or list of servers did not come."
    )
    PLATFORM_DOWN = EventSpec(300, logbook.WARNING, "A part of the platform stopped answering.")
    PLATFORM_UP = EventSpec(301, logbook.INFO, "A part of the platform answers again.")
    WRITE_UNCERTAIN = EventSpec(302, logbook.WARNING, "A write's answer was lost; reading back.")
    ROW_UNREADABLE = EventSpec(
        303, logbook.ERROR, "A row of the store can't be read and is left alone."
    )
    STORE_RESTORED = EventSpec(
        304, logbook.WARNING, "The store came back from an older copy; versions start again."
    )
    SERVER_LEAVING = EventSpec(400, logbook.INFO, "A backend server leaves; it gets no new work.")
    SERVER_DOWN = EventSpec(401, logbook.WARNING, "A backend server does not answer.")
    ATTEMPT_FAILED = EventSpec(402, logbook.WARNING, "An attempt failed; the request goes on.")
    REQUEST_FAILED = EventSpec(403, logbook.ERROR, "A request failed for good.")
    STREAM_MOVED = EventSpec(404, logbook.INFO, "A live stream went on at another server.")
    STREAM_HANDED = EventSpec(405, logbook.INFO, "A live stream was handed to a peer.")
    STREAM_ADOPTED = EventSpec(406, logbook.INFO, "A live stream was taken over from a peer.")
    JOB_ADOPTED = EventSpec(407, logbook.INFO, "A waiting job was adopted from another node.")
    ORDER_FAILED = EventSpec(408, logbook.WARNING, "An order to a backend server failed.")
    LEASE_WON = EventSpec(500, logbook.INFO, "This node holds a lease.")
    LEASE_LOST = EventSpec(501, logbook.WARNING, "This node no longer holds a lease.")
    LEASE_DEFERRED = EventSpec(
        504, logbook.INFO, "This node held the lease too recently to acquire it again."
    )
    RENT_DECIDED = EventSpec(502, logbook.INFO, "Instances are rented or returned.")
    RENT_REFUSED = EventSpec(503, logbook.WARNING, "The cloud refused an instance.")
    REFUSED = EventSpec(410, logbook.INFO, "A request got a final answer of the node's own.")
    CONNECT_FAILED = EventSpec(411, logbook.WARNING, "A server took no connection.")
    ATTEMPT_ENDED = EventSpec(412, logbook.WARNING, "A send brought no answer to pass on.")
    STREAM_BROKEN = EventSpec(413, logbook.WARNING, "A stream that had begun was broken off.")
    SECOND_REPLY = EventSpec(
        419, logbook.ERROR, "A second response was begun inside another one and was not sent."
    )
    CALLER_GONE = EventSpec(414, logbook.INFO, "A caller left; its request was cancelled.")
    LIMITED = EventSpec(415, logbook.INFO, "A request was refused by its account's limit.")
    SERVED = EventSpec(416, logbook.INFO, "A request got a server's whole answer.")
    EVACUATION = EventSpec(417, logbook.INFO, "A server leaves; what must be moved was planned.")
    STREAM_SENT_ON = EventSpec(418, logbook.INFO, "A stream was to move to another server.")
    SERVERS_CHANGED = EventSpec(420, logbook.INFO, "The list of backend servers changed.")
    SERVER_ENDED = EventSpec(
        421, logbook.WARNING, "A server ended while requests of this node ran there."
    )
    REQUEST_BLOCKED = EventSpec(
        422, logbook.WARNING, "A request gets no server, since servers ended under it."
    )
    HEADER_UNREADABLE = EventSpec(
        423, logbook.WARNING, "A header of a server's answer can't be read and counts as missing."
    )
    SERVER_BACKOFF = EventSpec(
        424, logbook.INFO, "A server turned a request away and stated the earliest time of a retry."
    )
    SERVER_LIMIT = EventSpec(
        425, logbook.INFO, "A server named another limit of requests from all nodes, or none."
    )
    PERMITS = EventSpec(
        426, logbook.INFO, "Permits for a server with a limit: asked for and granted at this node."
    )
    LIST_OLDER = EventSpec(
        427, logbook.WARNING, "A list of servers that was read is older than the one in use."
    )
    SERVER_SPEED = EventSpec(
        428, logbook.INFO, "A server runs prefill faster or slower than its service; logged once."
    )
    SERVICE_BRITTLE = EventSpec(
        429,
        logbook.INFO,
        "The servers of a service state how many rejections a second end them, or no longer do.",
    )
    OVERLOAD = EventSpec(
        430, logbook.INFO, "A service became overloaded at this node, or no longer is."
    )
    PART_BLOCKED = EventSpec(
        431,
        logbook.WARNING,
        "Requests with a part in their prompt get no server, since servers ended under it.",
    )
    PART_PROBED = EventSpec(
        432, logbook.INFO, "A request with a blocked part is sent to find out whether it still is."
    )
    PART_CLEARED = EventSpec(
        433, logbook.INFO, "A blocked part of prompts is no longer blocked at this node."
    )
    SHARES_SHORT = EventSpec(
        440, logbook.INFO, "Less work is sent than offered; accounts above their share are named."
    )
    EVACUATION_PLANNED = EventSpec(
        450, logbook.INFO, "This node ordered moves off a leaving server for all nodes."
    )
    EVACUATION_ALONE = EventSpec(
        451, logbook.WARNING, "The coordinator of a leaving server was silent; own moves began."
    )
    QUEUED_SENT_ELSEWHERE = EventSpec(
        452, logbook.INFO, "A request in the queue of a leaving server goes to another server."
    )
    MOVE_SLOTS = EventSpec(
        453, logbook.INFO, "New requests are refused for streams that must move, or no longer are."
    )
    BACKUP_CHOSEN = EventSpec(
        470, logbook.INFO, "The KV cache of a stream is replicated to another server as it runs."
    )
    BACKUP_CONTINUED = EventSpec(
        471, logbook.INFO, "A stream whose server ended was completed from its backup."
    )
    BACKUP_FAILED = EventSpec(472, logbook.WARNING, "A stream broke off although it had a backup.")
    ENGINE_FULL = EventSpec(
        460, logbook.INFO, "No server takes a request in time without preempting another one."
    )
    SERVICE_UNREACHABLE = EventSpec(
        480, logbook.WARNING, "This node reaches no server of a service that has some."
    )
    SERVICE_REACHED = EventSpec(481, logbook.INFO, "This node reaches the servers again.")
    ORIGIN_ASKED = EventSpec(
        490,
        logbook.INFO,
        "Other nodes were asked which software version began a stream that its caller resumes.",
    )
    VERSIONS_REGISTERED = EventSpec(
        491,
        logbook.INFO,
        "The store names these software versions as those that may have begun streams.",
    )
    RELAYED = EventSpec(
        483, logbook.INFO, "A request was sent to a peer, since no server was reached from here."
    )
    END_UNKNOWN = EventSpec(
        484,
        logbook.WARNING,
        "Answers of a server broke off, but this node reaches no other server of the service.",
    )
    ADDRESSES_CHANGED = EventSpec(
        482, logbook.INFO, "Callers that ask this node are directed to other nodes than before."
    )
    USAGE_REPORTED = EventSpec(510, logbook.INFO, "Usage of a window was reported.")
    USAGE_FAILED = EventSpec(511, logbook.WARNING, "Usage of a window could not be reported.")
    SERVERS_ORDERED = EventSpec(512, logbook.INFO, "A number of servers was ordered for a hall.")
    ROLLOUT_ORDERED = EventSpec(
        520, logbook.INFO, "An order for a new version of servers is known."
    )
    ROLLOUT_DECIDED = EventSpec(521, logbook.INFO, "A roll-out went on, ended or was rolled back.")
    ROLLOUT_FAILED = EventSpec(
        522, logbook.WARNING, "The state of a roll-out was not read or written."
    )
    UNHEARD_DEMAND = EventSpec(
        550, logbook.INFO, "Demand of nodes that are not heard is inferred from now on, or no more."
    )
    SPOT_LOST = EventSpec(
        551,
        logbook.INFO,
        "Spot servers were reclaimed or refused: halls that are not counted on, and for the loss of"
        " how many more servers are held.",
    )
    LIST_WATCHED = EventSpec(
        552,
        logbook.INFO,
        "The holder reads the list of servers at each poll from now on, since it hears of few"
        " requests, or no more.",
    )
    WOKEN = EventSpec(107, logbook.WARNING, "The machine was suspended for so many seconds.")
    RELOADED = EventSpec(106, logbook.INFO, "The settings were read again.")
    PEER_REFUSED = EventSpec(600, logbook.WARNING, "A peer call without a valid token was refused.")
    PEER_DOWN = EventSpec(601, logbook.INFO, "A peer does not answer.")
    FORMAT_REFUSED = EventSpec(
        602, logbook.WARNING, "A message of a kind that can't be read was dropped; logged once."
    )
    MESSAGE_UNSENT = EventSpec(
        604,
        logbook.WARNING,
        "A message can't be encoded, or can't be sent to an address; logged once each.",
    )
    BUILDS_DIFFER = EventSpec(
        603,
        logbook.INFO,
        "A node changed its formats, or has others than this one: another build.",
    )


def emit(event: Event, **fields: object) -> None:
    """Log an event, with its fields as JSON; `fields` must not contain secrets.

    A value that can't be encoded is replaced by the name of the error, so no caller fails by it.
    """
    spec = event.value
    _logger.log(spec.level, f"E{spec.number} {event.name.lower()} {_encode_fields(fields)}")


def _encode_fields(fields: dict[str, object]) -> str:
    try:
        return msgspec.json.encode(fields, enc_hook=str).decode()
    except Exception:
        pairs = (f"{_encode_value(name)}:{_encode_value(fields[name])}" for name in fields)
        return "{" + ",".join(pairs) + "}"


def _encode_value(value: object) -> str:
    try:
        return msgspec.json.encode(value, enc_hook=str).decode()
    except Exception as error:
        return f'"{type(value).__name__}: {type(error).__name__}"'


def log_to_stderr(level: str) -> logbook.Handler:
    """Log events of at least `level` to standard error; return the handler."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=level.upper(),
        format_string="{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.message}",
    )
    handler.push_application()
    return handler


class NonBlockingHandler(logbook.Handler):  # type: ignore[misc]
    """Writes a line per event to a descriptor without blocking.

    Lines are buffered while the reader is slow; once the buffer is full, new lines are dropped and
    counted in `dropped`.
    """

    def __init__(self, descriptor: int, level: str) -> None:
        super().__init__(level=level.upper())
        self.dropped = 0
        self._descriptor: int | None = descriptor
        self._buffer: deque[bytes] = deque()
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            self._descriptor = None

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line, or buffer it until the descriptor is writable."""
        if self._descriptor is None or len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._buffer.append(f"{time.time():.3f} {record.message}\n".encode())
        self._flush()

    def _flush(self) -> None:
        while self._buffer and self._descriptor is not None:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def log_to_stdout(level: str) -> NonBlockingHandler:
    """Log events of at least `level` to standard output, never blocking on a slow reader.

    If it is closed, the lines are dropped and counted.
    """
    handler = NonBlockingHandler(STDOUT, level)
    handler.push_application()
    return handler
