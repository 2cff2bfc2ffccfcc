"""Each check of the soak reports its violation and nothing for a correct run."""
import unittest

from .callers import Call
from .checks import Disturbance, Evacuation, Publication, find_violations
from .upstream import Execution


def call(
    request_id="a", method="GET", path="/shop/item/1", status=200, response_body=b"a|shop", sent_at=1.0, body=b"", headers=None
):
    stamped = {"x-filbertmount-response-stamp": "u-1"} if headers is None else headers
    return Call(request_id, method, path, body, 0, 1, sent_at, sent_at + 0.1, status, stamped, response_body)


def execution(request_id="a", service="shop", method="GET", path="/shop/item/1", body=b""):
    return Execution(request_id, service, method, path, body, 1.0)


def order_call(**overrides):
    return call(method="POST", path="/shop/order/1", **overrides)


def order_execution(**overrides):
    return execution(method="POST", path="/shop/order/1", **overrides)


def switch_call(request_id, service, sent_at):
    return call(request_id, path="/switch/now", response_body=f"{request_id}|{service}".encode(), sent_at=sent_at)


def switch_execution(request_id, service):
    return execution(request_id, service, path="/switch/now")


CASES = [
    (
        "no violation",
        [call(), order_call(request_id="b", response_body=b"b|shop")],
        [execution(), order_execution(request_id="b")],
        None,
    ),
    ("a safe request that was executed twice", [call()], [execution(), execution()], None),
    ("a refused safe request that was executed", [call(status=503)], [execution()], None),
    ("an execution that no caller requested", [], [execution()], "unasked"),
    ("an execution with another path", [call()], [execution(path="/shop/item/2")], "unasked"),
    ("an execution with another body", [order_call(body=b"x")], [order_execution(body=b"y")], "unasked"),
    ("an order that was executed twice", [order_call()], [order_execution(), order_execution()], "twice"),
    ("a refused order that was executed", [order_call(status=503)], [order_execution()], "not run, and run"),
    ("the response to another request", [call(response_body=b"b|shop")], [execution()], "wrong response"),
    ("a response without an execution", [call()], [], "wrong response"),
    ("a response without a stamp", [call(headers={})], [execution()], "wrong response"),
    ("a service that no route set allows", [call(response_body=b"a|switch-0")], [execution(service="switch-0")], "wrong service"),
    (
        "a newer route set",
        [switch_call("a", "switch-1", 1), switch_call("b", "switch-2", 2)],
        [switch_execution("a", "switch-1"), switch_execution("b", "switch-2")],
        None,
    ),
    (
        "an older route set",
        [switch_call("a", "switch-2", 1), switch_call("b", "switch-1", 2)],
        [switch_execution("a", "switch-2"), switch_execution("b", "switch-1")],
        "older routes again",
    ),
]


# Name, time of the execution, upstream, disturbances, and whether the execution violates the evacuation from 0 to 20 s.
EVACUATION_CASES = [
    ("before it must hold", 4, "u-1", [], False),
    ("while it must hold", 6, "u-1", [], True),
    ("after its end", 21, "u-1", [], False),
    ("in another zone", 6, "u-2", [], False),
    ("in an outage of the store", 6, "u-1", [Disturbance("store", 5, 7)], False),
    ("soon after an outage of the store", 11, "u-1", [Disturbance("store", 5, 7)], False),
    ("long after an outage of the store", 13, "u-1", [Disturbance("store", 5, 7)], True),
    ("before an outage of the store", 6, "u-1", [Disturbance("store", 8, 9)], True),
    ("after the suspension of the sending instance", 6, "u-1", [Disturbance(0, 2, 5)], False),
    ("after the suspension of another instance", 6, "u-1", [Disturbance(1, 2, 5)], True),
    ("over a disturbed connection", 6, "u-1", [Disturbance("u-1", 2, 5)], False),
    ("while some instances do not reach the store", 9, "u-1", [Disturbance("store reach", 1, 3)], False),
    ("long after some instances did not reach the store", 11, "u-1", [Disturbance("store reach", 1, 3)], True),
]


# Name, time of the request, the service that ran it, disturbances, and whether it violates the publications below.
PUBLICATIONS = [Publication("switch-1", 1, 1), Publication("switch-2", 10, 10), Publication("switch-3", 30, 30)]
PUBLICATION_CASES = [
    ("the newest route set", 100, "switch-3", [], False),
    ("soon after the change", 17, "switch-1", [], False),
    ("long after the change", 20, "switch-1", [], True),
    ("a route set that was replaced later", 20, "switch-2", [], False),
    ("two changes behind", 31, "switch-1", [], True),
    ("in an outage of the store", 20, "switch-1", [Disturbance("store", 15)], False),
    ("long after an outage of the store", 29, "switch-1", [Disturbance("store", 15, 20)], True),
    ("after the suspension of the instance", 20, "switch-1", [Disturbance(0, 12, 15)], False),
    ("after the suspension of another instance", 20, "switch-1", [Disturbance(1, 12, 15)], True),
]


class ChecksTest(unittest.TestCase):
    def test_outdated_route_sets(self):
        for name, time, service, disturbances, is_violation in PUBLICATION_CASES:
            with self.subTest(name):
                calls = [switch_call("a", service, time)]
                violations = find_violations(calls, [switch_execution("a", service)], (), disturbances, PUBLICATIONS)
                self.assertEqual([line.partition(":")[0] for line in violations], ["outdated routes"] * is_violation)

    def test_evacuations(self):
        evacuations = [Evacuation("zone-1", frozenset({"u-1"}), 0, 20)]
        for name, time, upstream, disturbances, is_violation in EVACUATION_CASES:
            with self.subTest(name):
                there = execution()
                there.started_at, there.upstream = time, upstream
                violations = find_violations([call()], [there], evacuations, disturbances)
                self.assertEqual([line.partition(":")[0] for line in violations], ["evacuated"] * is_violation)

    def test_cases(self):
        for name, calls, executions, expected_prefix in CASES:
            with self.subTest(name):
                violations = find_violations(calls, executions)
                if expected_prefix is None:
                    self.assertEqual(violations, [])
                else:
                    self.assertTrue(any(line.startswith(expected_prefix) for line in violations), violations)


if __name__ == "__main__":
    unittest.main()
