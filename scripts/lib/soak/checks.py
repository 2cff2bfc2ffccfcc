"""The promises, checked against what callers and upstreams saw. None of them depends on how fast the machine is."""
from collections import defaultdict

from .callers import NOT_RUN_STATUSES

# Services that successive route sets give the path /switch/ to, in turn. There are more than twice as many as route sets can
# pass between two answers of one instance, so that an older one can be told from a much newer one.
SWITCHED = tuple(f"switch-{number}" for number in range(40))


def broken_promises(attempts, runs):
    """Returns a line for each promise that was broken."""
    sent = {attempt.request: attempt for attempt in attempts}
    runs_of = defaultdict(list)
    for run in runs:
        runs_of[run.request].append(run)
    return [
        *_unasked(sent, runs),
        *_run_twice(sent, runs_of),
        *_false_refusals(attempts, runs_of),
        *_foreign_answers(attempts, runs_of),
        *_wrong_routes(runs),
        *_reverted_routes(attempts),
    ]


def _unasked(sent, runs):
    for run in runs:
        attempt = sent.get(run.request)
        if attempt is None or (run.method, run.path, run.body) != (attempt.method, attempt.path, attempt.body):
            yield f"unasked: an upstream of {run.service} ran {run}"


def _run_twice(sent, runs_of):
    for request, runs in runs_of.items():
        if request in sent and not sent[request].is_safe and len(runs) > 1:
            yield f"twice: {sent[request]} ran {len(runs)} times"


def _false_refusals(attempts, runs_of):
    for attempt in attempts:
        if attempt.status in NOT_RUN_STATUSES and not attempt.is_safe and runs_of[attempt.request]:
            yield f"not run, and run: {attempt}"


def _foreign_answers(attempts, runs_of):
    for attempt in attempts:
        if attempt.status != 200:
            continue
        identity, _, service = attempt.answer.decode("latin-1").partition("|")
        has_run_there = any(run.service == service for run in runs_of[attempt.request])
        is_stamped = "x-filbertmount-response-stamp" in attempt.headers
        if identity != attempt.request or not has_run_there or not is_stamped:
            yield f"not its own answer: {attempt}"


def _wrong_routes(runs):
    for run in runs:
        is_allowed = run.service == "shop" if run.path.startswith("/shop/") else run.service in SWITCHED
        if not is_allowed:
            yield f"wrong service: {run}"


def _reverted_routes(attempts):
    """Within one process, a request that was sent after another was answered never takes an older route set."""
    by_process = defaultdict(list)
    for attempt in attempts:
        if attempt.path.startswith("/switch/") and attempt.status == 200:
            by_process[(attempt.instance, attempt.incarnation)].append(attempt)
    for answered in by_process.values():
        answered.sort(key=lambda attempt: attempt.sent)
        for later in answered:
            earlier = [attempt for attempt in answered if attempt.answered < later.sent]
            if not earlier:
                continue
            last = max(earlier, key=lambda attempt: attempt.answered)
            step = (_position(later) - _position(last)) % len(SWITCHED)
            if step > len(SWITCHED) // 2:
                yield f"older routes again: {later} after {last}"


def _position(attempt):
    return SWITCHED.index(attempt.answer.decode("latin-1").partition("|")[2])
