"""Checks the records of callers and upstreams for violated guarantees. No check depends on the speed of the machine."""
import math
from collections import defaultdict
from dataclasses import dataclass

from .callers import NOT_EXECUTED_STATUSES

# Successive route sets assign the path /switch/ to these services in turn. There are more than twice as many services as route
# set changes between two responses of one instance, so that an older route set can be told from a much newer one.
SWITCH_SERVICES = tuple(f"switch-{number}" for number in range(40))


# Time from the store's acknowledgement of an evacuation until it must hold, and its extension while single instances do not
# reach the store.
EVACUATION_S = 5
UNSTABLE_STORE_S = 5
# Time from the store's acknowledgement of a route set until it must be in force, the longest of any deployment.
CONFIG_APPLY_S = 3


@dataclass
class Evacuation:
    """One evacuation of a zone: when the store acknowledged it, when its deletion began, and the ids of the zone's upstreams."""

    zone: str
    upstreams: frozenset
    started_at: float
    ended_at: float = math.inf


@dataclass
class Publication:
    """A route set: the service that it assigns to the path /switch/, when its write began and when the store acknowledged it."""

    service: str
    started_at: float
    acknowledged_at: float = math.inf


@dataclass
class Disturbance:
    """
    A fault while which evacuations need not hold, or after which they need some time to hold again. The subject is "store" for
    an outage, "store reach" when one instance does not reach it, the index of a suspended instance, or the id of an upstream
    whose connections are disturbed, so that requests arrive late.
    """

    subject: object
    started_at: float
    ended_at: float = math.inf


def find_violations(calls, executions, evacuations=(), disturbances=(), publications=()):
    """Returns a line for each violation."""
    calls_by_id = {call.request_id: call for call in calls}
    executions_by_id = defaultdict(list)
    for execution in executions:
        executions_by_id[execution.request_id].append(execution)
    return [
        *_unrequested_executions(calls_by_id, executions),
        *_repeated_executions(calls_by_id, executions_by_id),
        *_false_refusals(calls, executions_by_id),
        *_wrong_responses(calls, executions_by_id),
        *_misrouted_executions(executions),
        *_older_route_sets(calls),
        *_outdated_route_sets(calls, publications, disturbances),
        *_evacuated_executions(calls_by_id, executions, evacuations, disturbances),
    ]


def _unrequested_executions(calls_by_id, executions):
    for execution in executions:
        call = calls_by_id.get(execution.request_id)
        if call is None or (execution.method, execution.path, execution.body) != (call.method, call.path, call.body):
            yield f"unasked: no caller sent what an upstream of {execution.service} executed: {execution}"


def _repeated_executions(calls_by_id, executions_by_id):
    for request_id, executions in executions_by_id.items():
        if request_id in calls_by_id and not calls_by_id[request_id].is_safe and len(executions) > 1:
            yield f"twice: an unsafe request was executed {len(executions)} times: {calls_by_id[request_id]}"


def _false_refusals(calls, executions_by_id):
    for call in calls:
        if call.status in NOT_EXECUTED_STATUSES and not call.is_safe and executions_by_id[call.request_id]:
            yield f"not run, and run: the status {call.status} rules out the execution that an upstream recorded: {call}"


def _wrong_responses(calls, executions_by_id):
    for call in calls:
        if call.status != 200:
            continue
        request_id, _, service = call.response_body.decode("latin-1").partition("|")
        was_executed_there = any(execution.service == service for execution in executions_by_id[call.request_id])
        is_stamped = "x-filbertmount-response-stamp" in call.headers
        if request_id != call.request_id or not was_executed_there or not is_stamped:
            yield f"wrong response: not the stamped response of an execution of this request: {call}"


def _misrouted_executions(executions):
    for execution in executions:
        is_allowed = execution.service == "shop" if execution.path.startswith("/shop/") else execution.service in SWITCH_SERVICES
        if not is_allowed:
            yield f"wrong service: {execution.service} may not serve {execution.path}: {execution}"


def _older_route_sets(calls):
    """Within one process, a request sent after the response to another one must not be routed by an older route set."""
    by_process = defaultdict(list)
    for call in calls:
        if call.path.startswith("/switch/") and call.status == 200:
            by_process[(call.instance, call.incarnation)].append(call)
    for process_calls in by_process.values():
        process_calls.sort(key=lambda call: call.sent_at)
        for later in process_calls:
            earlier = [call for call in process_calls if call.answered_at < later.sent_at]
            if not earlier:
                continue
            last = max(earlier, key=lambda call: call.answered_at)
            step = (_service_index(later) - _service_index(last)) % len(SWITCH_SERVICES)
            if step > len(SWITCH_SERVICES) // 2:
                yield f"older routes again: {later} follows {last}"


def _outdated_route_sets(calls, publications, disturbances):
    """A request must not be routed by a route set that was replaced long before, also not by a process that has just started."""
    for call in calls:
        if not call.path.startswith("/switch/") or call.status != 200:
            continue
        # The newest one that may have been in force; an earlier one with the same service cannot be distinguished.
        used = [
            number
            for number, publication in enumerate(publications)
            if publication.service == _service(call) and publication.started_at <= call.answered_at
        ]
        if not used or used[-1] + 1 == len(publications):
            continue
        age = call.sent_at - publications[used[-1] + 1].acknowledged_at
        if age > CONFIG_APPLY_S + UNSTABLE_STORE_S and not _has_missed_changes(call, disturbances):
            yield f"outdated routes: {call} was sent {age:.1f} s after they had been replaced"


def _has_missed_changes(call, disturbances):
    for disturbance in disturbances:
        has_ended = disturbance.ended_at + CONFIG_APPLY_S + UNSTABLE_STORE_S < call.sent_at
        if disturbance.subject in ("store", call.instance) and disturbance.started_at <= call.sent_at and not has_ended:
            return True
    return False


def _service(call):
    return call.response_body.decode("latin-1").partition("|")[2]


def _service_index(call):
    return SWITCH_SERVICES.index(_service(call))


def _evacuated_executions(calls_by_id, executions, evacuations, disturbances):
    for evacuation in evacuations:
        for execution in executions:
            is_there = execution.upstream in evacuation.upstreams
            if not is_there or not evacuation.started_at + EVACUATION_S < execution.started_at < evacuation.ended_at:
                continue
            call = calls_by_id.get(execution.request_id)
            if not _is_excused(evacuation, execution, call, disturbances):
                elapsed = execution.started_at - evacuation.started_at
                yield f"evacuated: {execution} ran {elapsed:.1f} s after the evacuation of {evacuation.zone}, sent by {call}"


def _is_excused(evacuation, execution, call, disturbances):
    subjects = {"store", execution.upstream, call.instance if call else None}
    for disturbance in disturbances:
        if disturbance.started_at > execution.started_at:
            continue
        if disturbance.subject in subjects and execution.started_at < disturbance.ended_at + EVACUATION_S:
            return True
        extended = evacuation.started_at + EVACUATION_S + UNSTABLE_STORE_S
        was_unstable = disturbance.subject == "store reach" and disturbance.ended_at > evacuation.started_at
        if was_unstable and execution.started_at < extended:
            return True
    return False
