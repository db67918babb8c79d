"""Checks of the guarantees of the gateway, based only on what was recorded outside its processes.

Each check yields its findings; the soak prints them after the check's name.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from standins.rows import DutyCall
from tests.soak.backend import (
    EVENT_PATTERN,
    EVENTS_PER_STREAM,
    GUILTY_CRASH_DELAY_S,
    GUILTY_PREFIX,
    PART_BODY,
    SENDER_PATTERN,
    event_of,
    plain_body,
)
from tests.soak.records import Attempt, Ledger, Run

SETTLE_TIME_S = 3.0
"""Time bounds apply only after this long without an unplanned fault."""

# These four are bounds in the settings of the nodes, see `SETTINGS_TEMPLATE` in process.py.
APPLY_S = 2.0
LEAVE_S = 2.0
JOIN_S = 4.0
"""A listed server gets requests this soon after the only other one is listed as leaving."""

LEASE_S = 1.5
STOP_S = 5.0

STOP_SLACK_S = 1.0
ANSWER_SLACK_S = 0.5

CLOSE_RACE_S = 0.2
"""A request that never ran and was cut this soon may have crossed the close of its connection."""

IN_FLIGHT_S = 0.5
"""Requests that were in flight when a server stated a limit or a retry time arrive within this."""

SERVER_LIMIT_WINDOW_S = 4.0

MAX_EARLY_REQUESTS = 2
"""Requests of one node that may reach a server before its stated retry time."""

RECOVERY_S = 8.0
MIN_RECOVERED_SHARE = 0.9
"""Share of the requests that must succeed from `RECOVERY_S` after the last fault on."""

GUILTY_PART_CRASHES = 5
CONTACT_S = 3.0
"""All nodes know of a part this long after the fifth server crashed under it."""

MAX_LATE_GUILTY_SENDS = 3
"""Sends of a request that crashes servers after it should be blocked."""

ACCOUNT_LIMIT_WINDOW_S = 8.0
"""`limit_window_s` of the settings."""

OVERSHOOT_FACTOR = 1.1

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which the gateway guarantees that the request did not run and never will."""

LIMIT_STATUS = 429

MIN_RESUMED_STREAMS = 12
"""Fewer resumed streams are not compared with new ones."""

STREAM_ROUTES = frozenset({"draft", "review"})
SIDE_PREFIX = "side"
"""Beginning of the names of the services that serve drills of versions, and of their routes."""

IN_TOUCH_S = 3.0
"""A node that has been running for this long knows which version began a stream."""

REPEATABLE_ROUTES = frozenset({"check", "review"})


def is_stream_route(route: str) -> bool:
    """Return whether the answers of a route are streams."""
    return route in STREAM_ROUTES or route.startswith(SIDE_PREFIX)


def runs_by_request(ledger: Ledger) -> dict[str, list[Run]]:
    """Group the runs by request id."""
    found: dict[str, list[Run]] = defaultdict(list)
    for run in ledger.runs:
        found[run.request].append(run)
    return found


def own_whole_answers(ledger: Ledger) -> Iterable[str]:
    """Each success is the complete answer of a server that ran this request."""
    runs = runs_by_request(ledger)
    for attempt in ledger.attempts:
        if not attempt.whole or not 200 <= attempt.status < 300:
            continue
        servers = {run.server for run in runs[attempt.request]}
        stamp = attempt.headers.get("server-stamp", "")
        if attempt.headers.get("request-id") != attempt.request or stamp not in servers:
            yield f"{attempt.request}: answered with the header fields {attempt.headers}"
        elif is_stream_route(attempt.route):
            yield from _check_whole_stream(attempt, servers, stamp)
        elif attempt.answer != plain_body(attempt.request, stamp):
            yield f"{attempt.request}: body {attempt.answer[:80]!r} is not the server's"


def _check_whole_stream(attempt: Attempt, servers: set[str], stamp: str) -> Iterable[str]:
    events = EVENT_PATTERN.findall(attempt.answer)
    numbers = [int(event[0]) for event in events]
    if numbers != list(range(attempt.after_event + 1, EVENTS_PER_STREAM + 1)):
        yield f"{attempt.request}: a complete stream has the events {numbers}"
    rebuilt = b"".join(event_of(attempt.request, e[2].decode(), int(e[0])) for e in events)
    if rebuilt != attempt.answer:
        yield f"{attempt.request}: a stream has bytes that belong to no event"
    senders = {event[2].decode() for event in events}
    if not senders <= servers:
        yield f"{attempt.request}: events of {senders - servers}, which did not run it"
    if attempt.route == "draft" and senders != {stamp}:
        yield f"{attempt.request}: a stream that may not be resumed has events of {senders}"


def nothing_but_answers(ledger: Ledger) -> Iterable[str]:
    """No caller gets bytes that are no part of an answer."""
    for attempt in ledger.attempts:
        if attempt.garbled:
            yield f"{attempt.request}: bytes that are no answer after {attempt.answer[-60:]!r}"


def streams_keep_their_version(ledger: Ledger) -> Iterable[str]:
    """All events of a stream, over its caller's tries, are from one version of the software."""
    versions: dict[str, set[str]] = defaultdict(set)
    for attempt in ledger.attempts:
        stream = attempt.resumes or attempt.request
        for server in SENDER_PATTERN.findall(attempt.answer):
            versions[stream].add(ledger.server_versions[server.decode()])
    for stream, found in versions.items():
        if len(found) > 1:
            yield f"{stream}: a stream has events of the versions {sorted(found)}"


def resumed_streams_go_on(ledger: Ledger) -> Iterable[str]:
    """Streams that callers take up again go on at least half as often as new ones begin.

    Of both, those count that got an answer and were not refused by their account's limit.
    """
    streams = [
        each
        for each in ledger.attempts
        if each.route == "review" and each.status not in (0, LIMIT_STATUS)
    ]
    resumed = [each for each in streams if each.resumes]
    new = [each for each in streams if not each.resumes]
    if len(resumed) < MIN_RESUMED_STREAMS:
        return
    went_on = sum(each.status == 200 for each in resumed) / len(resumed)
    began = sum(each.status == 200 for each in new) / max(1, len(new))
    if went_on < 0.5 * began:
        yield f"{went_on:.2f} of {len(resumed)} resumed streams went on, {began:.2f} of new ones"


def streams_in_touch_go_on(ledger: Ledger) -> Iterable[str]:
    """In drills of versions, streams that callers take up again go on at least half as often as new
    ones begin, where two servers of their version serve and all nodes are in touch.

    So do those that began before all nodes were killed.
    """
    begun: dict[str, tuple[str, float]] = {}
    streams = [
        each
        for each in ledger.attempts
        if each.route.startswith(SIDE_PREFIX) and each.ended_at and each.status != LIMIT_STATUS
    ]
    for each in streams:
        senders = SENDER_PATTERN.findall(each.answer)
        if senders and not each.resumes:
            begun[each.request] = ledger.server_versions[senders[0].decode()], each.sent_at
    in_touch = [
        each for each in streams if ledger.in_touch(each.sent_at, each.ended_at, IN_TOUCH_S)
    ]
    new = [each for each in in_touch if not each.resumes]
    resumed = [
        each
        for each in in_touch
        if each.resumes in begun and _is_served_twice(ledger, each, begun[each.resumes][0])
    ]
    kept = [each for each in resumed if ledger.killed_between(begun[each.resumes][1], each.sent_at)]
    began = sum(each.status == 200 for each in new) / max(1, len(new))
    for what, group in (("resumed", resumed), ("resumed after a kill of all nodes", kept)):
        went_on = sum(each.status == 200 for each in group) / max(1, len(group))
        if len(group) >= MIN_RESUMED_STREAMS and went_on < 0.5 * began:
            yield f"{went_on:.2f} of {len(group)} streams {what} went on, {began:.2f} of new ones"


def _is_served_twice(ledger: Ledger, attempt: Attempt, version: str) -> bool:
    """Return whether two servers of a stream's version serve while it is taken up again."""
    span = attempt.sent_at, attempt.ended_at
    return ledger.serving_between(attempt.route, version, *span) > 1


def cut_streams_are_in_order(ledger: Ledger) -> Iterable[str]:
    """A stream that broke off has complete events, without gaps and in order."""
    for attempt in ledger.attempts:
        if attempt.whole or not is_stream_route(attempt.route) or attempt.status != 200:
            continue
        numbers = [int(event[0]) for event in EVENT_PATTERN.findall(attempt.answer)]
        first = attempt.after_event + 1
        if numbers != list(range(first, first + len(numbers))):
            yield f"{attempt.request}: a cut stream has the events {numbers}"


def at_most_once(ledger: Ledger) -> Iterable[str]:
    """A request that may not be repeated runs at most once."""
    routes = {attempt.request: attempt.route for attempt in ledger.attempts}
    for request, runs in runs_by_request(ledger).items():
        if routes.get(request) in ("order", "draft") and len(runs) > 1:
            yield f"{request} ({routes[request]}): ran on {[run.server for run in runs]}"


def promises_kept(ledger: Ledger) -> Iterable[str]:
    """A request answered with a status that promises it did not run has not run on any server."""
    runs = runs_by_request(ledger)
    for attempt in ledger.attempts:
        if attempt.status in NOT_EXECUTED_STATUSES and runs[attempt.request]:
            yield f"{attempt.request}: answered {attempt.status}, ran on " + ", ".join(
                run.server for run in runs[attempt.request]
            )


def nothing_unasked(ledger: Ledger) -> Iterable[str]:
    """Servers run only what callers sent: unchanged, under their account, without its key."""
    sent = {attempt.request: attempt for attempt in ledger.attempts}
    for run in [*ledger.runs, *ledger.continued]:
        attempt = sent.get(run.request)
        if attempt is None:
            yield f"{run.server} ran {run.request!r}, which no caller sent"
        elif run.line != attempt.line or run.body != attempt.body:
            yield f"{run.request}: line or body was changed"
        elif run.account != attempt.account or run.key_seen:
            yield f"{run.request}: ran for {run.account}, key passed on: {run.key_seen}"


def attempts_bounded(ledger: Ledger) -> Iterable[str]:
    """No request runs on more servers than its route allows attempts."""
    for request, runs in runs_by_request(ledger).items():
        if len({run.server for run in runs}) > 2:
            yield f"{request}: ran on {len(runs)} servers"


def leaving_servers_rest(ledger: Ledger) -> Iterable[str]:
    """Without unplanned faults a server listed as leaving gets no requests after `LEAVE_S`."""
    for leaving in ledger.leaving:
        for run in ledger.runs:
            late = run.at - leaving.acked_at - LEAVE_S
            if run.server != leaving.server or late < 0:
                continue
            if not ledger.unplanned_between(leaving.acked_at - SETTLE_TIME_S, run.at):
                yield f"{run.request} reached {run.server} {late:.2f} s too late"


def joining_servers_get_requests(ledger: Ledger) -> Iterable[str]:
    """Without unplanned faults a server that takes over a service gets requests within `JOIN_S`."""
    last_sent_at = max((attempt.sent_at for attempt in ledger.attempts), default=0.0)
    arrived: dict[str, list[float]] = defaultdict(list)
    for run in ledger.runs:
        arrived[run.server].append(run.at)
    for joined in ledger.joined:
        end = joined.at + JOIN_S
        if end > last_sent_at or ledger.unplanned_between(joined.at - SETTLE_TIME_S, end):
            continue
        leaves = any(
            each.server == joined.server and each.acked_at < end for each in ledger.leaving
        )
        if not leaves and not any(joined.at <= at <= end for at in arrived[joined.server]):
            yield f"{joined.server} took over and got no request within {JOIN_S:.0f} s"


def own_word_of_leaving_counts(ledger: Ledger) -> Iterable[str]:
    """A node that forwarded a server's Server-Leaving field sends it nothing after `LEAVE_S`."""
    sent = {attempt.request: attempt for attempt in ledger.attempts}
    noticed: dict[tuple[str, str], float] = {}
    for attempt in ledger.attempts:
        if attempt.whole and attempt.headers.get("server-leaving") == "1":
            key = (attempt.node, attempt.headers.get("server-stamp", ""))
            noticed[key] = min(noticed.get(key, attempt.ended_at), attempt.ended_at)
    for run in ledger.runs:
        match = sent.get(run.request)
        noticed_at = noticed.get((match.node, run.server)) if match is not None else None
        if match is None or noticed_at is None or match.sent_at <= noticed_at + LEAVE_S:
            continue
        if not ledger.disturbed(match.node, run.server, noticed_at, run.at):
            late_s = run.at - noticed_at - LEAVE_S
            yield f"{run.request}: {match.node} sent it to {run.server} {late_s:.2f} s too late"


def stated_retry_times_are_kept(ledger: Ledger) -> Iterable[str]:
    """A node sends a server nothing before its stated retry time, except requests in flight."""
    node_of = {attempt.request: attempt.node for attempt in ledger.attempts}
    arrived = [(run.request, run.server, run.at) for run in ledger.runs]
    arrived += [(each.request, each.server, each.at) for each in ledger.declined]
    arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
    for request, server, at in arrived:
        arrivals[node_of.get(request, ""), server].append(at)
    for declined in ledger.declined:
        node = node_of.get(declined.request, "")
        begin, end = declined.at + IN_FLIGHT_S, declined.at + declined.retry_after_s
        late = [at for at in arrivals[node, declined.server] if begin < at < end]
        excused = ledger.disturbed(node, declined.server, declined.at, end)
        if len(late) > MAX_EARLY_REQUESTS and not excused:
            yield f"{declined.request}: {node} sent {len(late)} too early to {declined.server}"


def named_limits_are_kept(ledger: Ledger) -> Iterable[str]:
    """Nodes that forwarded a server's limit keep it together, except those disturbed by faults."""
    node_of = {attempt.request: attempt.node for attempt in ledger.attempts}
    forwarded: dict[tuple[str, str], list[float]] = defaultdict(list)
    for attempt in ledger.attempts:
        if attempt.whole and "server-limit" in attempt.headers:
            key = (attempt.node, attempt.headers.get("server-stamp", ""))
            forwarded[key].append(attempt.ended_at)
    for limit in ledger.limits:
        begins = limit.begins + SETTLE_TIME_S - SERVER_LIMIT_WINDOW_S
        arrived = sorted(
            run.at
            for run in ledger.runs
            if run.server == limit.server
            and begins <= run.at < limit.ends
            and _knew_limit(ledger, forwarded, node_of.get(run.request, ""), run, limit.begins)
        )
        maximum = 1.5 * limit.per_s * SERVER_LIMIT_WINDOW_S + 5
        for first in arrived:
            number = sum(first <= at < first + SERVER_LIMIT_WINDOW_S for at in arrived)
            if number > maximum:
                yield f"{limit.server} stated a limit of {limit.per_s}/s and got {number} in 4 s"
                break


def _knew_limit(
    ledger: Ledger,
    forwarded: dict[tuple[str, str], list[float]],
    node: str,
    run: Run,
    since: float,
) -> bool:
    """Return whether an undisturbed node had forwarded the limit before it sent this request."""
    known = [at for at in forwarded[node, run.server] if since <= at <= run.at - IN_FLIGHT_S]
    return bool(known) and not ledger.disturbed(node, run.server, run.at - SETTLE_TIME_S, run.at)


def planned_work_cuts_nothing(ledger: Ledger) -> Iterable[str]:
    """Without unplanned faults every request that a node read gets a complete answer."""
    runs = runs_by_request(ledger)
    for attempt in ledger.attempts:
        if attempt.whole or attempt.probe or attempt.dropped or not attempt.ended_at:
            continue
        if ledger.unplanned_between(attempt.sent_at - SETTLE_TIME_S, attempt.ended_at):
            continue
        if runs[attempt.request] or attempt.ended_at - attempt.sent_at > CLOSE_RACE_S:
            yield f"{attempt.request} at {attempt.node}: cut after " + (
                f"{attempt.ended_at - attempt.sent_at:.2f} s, status {attempt.status}"
            )


def answers_in_time(ledger: Ledger) -> Iterable[str]:
    """Without unplanned faults a request is answered by shortly after its route's timeout."""
    limits = {"check": 1.0, "order": 1.0}
    for attempt in ledger.attempts:
        limit = limits.get(attempt.route)
        took = attempt.ended_at - attempt.sent_at
        if limit is None or attempt.probe or not attempt.ended_at or took < limit + ANSWER_SLACK_S:
            continue
        if not ledger.unplanned_between(attempt.sent_at - SETTLE_TIME_S, attempt.ended_at):
            yield f"{attempt.request}: {took:.2f} s for a timeout of {limit} s"


def versions_in_force(ledger: Ledger) -> Iterable[str]:
    """Without unplanned faults each node applies a version within `APPLY_S` of its acknowledgement.

    It does so, too, while other nodes are cut from the store.
    The route `only-N` exists in version N only, so a probe of it shows which version a node has.
    """
    for attempt in ledger.attempts:
        if not attempt.probe or not attempt.whole or attempt.status == 503:
            continue
        number = int(attempt.route.removeprefix("only-"))
        acked = [v for v in ledger.versions if v.acked_at + APPLY_S < attempt.sent_at]
        written = [v for v in ledger.versions if v.acked_at <= attempt.ended_at]
        if not acked or ledger.unplanned_between(
            acked[-1].acked_at - SETTLE_TIME_S, attempt.ended_at, attempt.node
        ):
            continue
        allowed = {v.number for v in written if v.number >= acked[-1].number}
        if attempt.status == 404 and allowed == {number}:
            yield f"{attempt.request}: {attempt.node} did not know version {number}"
        if attempt.status != 404 and number not in allowed:
            yield f"{attempt.request}: {attempt.node} still had version {number}, not {allowed}"


def versions_never_revert(ledger: Ledger) -> Iterable[str]:
    """A process never goes back to an older version."""
    probes = [a for a in ledger.attempts if a.probe and a.whole and a.status == 200]
    for attempt in probes:
        number = int(attempt.route.removeprefix("only-"))
        started_at = max(
            (at for name, at in ledger.starts if name == attempt.node and at < attempt.sent_at),
            default=0.0,
        )
        for earlier in probes:
            same = earlier.node == attempt.node and started_at < earlier.sent_at
            newer = int(earlier.route.removeprefix("only-")) > number
            if same and newer and earlier.ended_at < attempt.sent_at:
                yield f"{attempt.request}: {attempt.node} went back to version {number}"
                break


def guilty_requests_are_held(ledger: Ledger) -> Iterable[str]:
    """A request that crashed three servers reaches servers at most three more times."""
    starts: dict[bytes, list[float]] = defaultdict(list)
    for run in ledger.runs:
        if run.body.startswith(GUILTY_PREFIX):
            starts[run.body].append(run.at)
    for body, times in starts.items():
        times.sort()
        late = [
            at
            for at in times
            if len(times) > 3 and at > times[2] + GUILTY_CRASH_DELAY_S + SETTLE_TIME_S
        ]
        if len(late) > MAX_LATE_GUILTY_SENDS:
            yield f"{body.decode()}: {len(late)} late sends, {len(times)} in all"


def guilty_parts_are_held(ledger: Ledger) -> Iterable[str]:
    """A part that crashed five servers reaches servers at most three more times."""
    starts: dict[bytes, list[float]] = defaultdict(list)
    for run in ledger.runs:
        if run.body.startswith(PART_BODY):
            starts[run.body.removeprefix(PART_BODY).split()[0]].append(run.at)
    for part, times in starts.items():
        times.sort()
        known_at = times[min(len(times), GUILTY_PART_CRASHES) - 1] + CONTACT_S
        late = [at for at in times if at > known_at]
        if len(late) > MAX_LATE_GUILTY_SENDS:
            yield f"part {part.decode()}: {len(late)} late sends, {len(times)} in all"


def limits_hold(ledger: Ledger, limit: dict[str, tuple[float, float]], slack: float) -> list[str]:
    """No account spends more in a window than rate and burst allow, with a tolerance.

    `limit` maps an account to its rate (tokens per second) and burst (tokens). `slack` is in
    tokens: what nodes may spend before they learn of each other's requests.
    """
    findings = []
    for account, (rate, burst) in limit.items():
        runs = [run for run in ledger.runs if run.account == account]
        maximum = (rate * ACCOUNT_LIMIT_WINDOW_S + burst) * OVERSHOOT_FACTOR + slack
        for index, first in enumerate(runs):
            total = sum(r.tokens for r in runs[index:] if r.at < first.at + ACCOUNT_LIMIT_WINDOW_S)
            if total > maximum:
                findings.append(f"{account}: {total} tokens in a window, maximum {maximum:.0f}")
                break
    return findings


def duties_by_one(calls: list[DutyCall], resumed_at: list[float], grace_s: float) -> Iterable[str]:
    """Usage of a window is reported once, fences rise, and no two holders alternate within a lease.

    Calls within `grace_s` after a process or link resumed may be late ones of a former holder, so
    they count neither for the order of fences nor for the alternation.
    """
    windows: dict[int, dict[str, int]] = {}
    holders: dict[tuple[str, str], dict[int, str]] = defaultdict(dict)
    newest: dict[str, int] = {}
    turns: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for call in calls:
        subject = _duty_key(call)
        if call.path == "/usage":
            window = int(str(call.body["window"]))
            counts = call.body["counts"]
            assert isinstance(counts, dict)
            if windows.setdefault(window, counts) != counts:
                yield f"window {window} was reported as {windows[window]} and as {counts}"
        known = holders[(subject, "")].setdefault(call.fence, call.holder)
        if known != call.holder:
            yield f"{subject}: fence {call.fence} used by {known} and {call.holder}"
        if any(0 <= call.at - at < grace_s for at in resumed_at):
            continue
        if call.fence < newest.get(subject, 0):
            yield f"{subject}: fence {call.fence} after {newest[subject]}"
        newest[subject] = max(call.fence, newest.get(subject, 0))
        turns[subject].append((call.at, call.holder))
    for subject, sequence in turns.items():
        yield from _alternating_holders(subject, sequence)


def _alternating_holders(subject: str, sequence: list[tuple[float, str]]) -> Iterable[str]:
    for index, (at, holder) in enumerate(sequence):
        interrupted = False
        for later, other in sequence[index + 1 :]:
            if later - at >= LEASE_S:
                break
            if other != holder:
                interrupted = True
            elif interrupted:
                yield f"{subject}: {holder} acted before and after another within a lease"
                break


def _duty_key(call: DutyCall) -> str:
    if call.path == "/usage":
        return "usage"
    return f"{call.body.get('service')} in {call.body.get('zone')}"


def ends_as_asked(ledger: Ledger) -> Iterable[str]:
    """Processes exit only on the soak's signals; a planned stop is in time and has exit code 0."""
    for end in ledger.exits:
        took_s = end.took_s
        if took_s is not None:
            # A stalled soak notices the exit late.
            took_s -= ledger.stalled_s(end.at - took_s, end.at)
        if not end.requested:
            yield f"{end.node} exited unexpectedly with code {end.code}"
        elif took_s is not None and end.code == 0 and took_s > STOP_S + STOP_SLACK_S:
            at = end.at - ledger.began
            yield f"{end.node}: a planned stop took {took_s:.1f} s, its exit was seen at {at:.2f}"
        elif end.code not in (0, -9):
            yield f"{end.node}: exited with code {end.code}"


def served_after_healing(ledger: Ledger) -> Iterable[str]:
    """`RECOVERY_S` after the last fault, requests are served again.

    The account `small` is left out because its limit rejects requests.
    """
    late = [
        attempt
        for attempt in ledger.attempts
        if not attempt.probe and attempt.sent_at > ledger.healed_at + RECOVERY_S
        if not attempt.dropped
        if attempt.ended_at and attempt.account != "small"
    ]
    good = [attempt for attempt in late if attempt.whole and attempt.status == 200]
    if len(good) < MIN_RECOVERED_SHARE * len(late) or not late:
        yield f"{len(good)} of {len(late)} requests were served after the last fault"


CHECKS: tuple[Callable[[Ledger], Iterable[str]], ...] = (
    own_whole_answers,
    cut_streams_are_in_order,
    nothing_but_answers,
    streams_keep_their_version,
    resumed_streams_go_on,
    streams_in_touch_go_on,
    at_most_once,
    promises_kept,
    nothing_unasked,
    attempts_bounded,
    leaving_servers_rest,
    joining_servers_get_requests,
    own_word_of_leaving_counts,
    stated_retry_times_are_kept,
    named_limits_are_kept,
    planned_work_cuts_nothing,
    answers_in_time,
    versions_in_force,
    versions_never_revert,
    ends_as_asked,
    guilty_requests_are_held,
    guilty_parts_are_held,
    served_after_healing,
)
