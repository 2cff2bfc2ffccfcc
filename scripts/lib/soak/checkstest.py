"""Each check of the soak finds what it is there for, and nothing in a run that is in order."""
import unittest

from .callers import Attempt
from .checks import broken_promises
from .upstream import Run


def attempt(request="a", method="GET", path="/shop/item/1", status=200, answer=b"a|shop", sent=1.0, body=b"", headers=None):
    stamped = {"x-filbertmount-response-stamp": "u-1"} if headers is None else headers
    return Attempt(request, method, path, body, 0, 1, sent, sent + 0.1, status, stamped, answer)


def run(request="a", service="shop", method="GET", path="/shop/item/1", body=b""):
    return Run(request, service, method, path, body, 1.0)


def order(**changed):
    return attempt(method="POST", path="/shop/order/1", **changed)


def order_run(**changed):
    return run(method="POST", path="/shop/order/1", **changed)


def switched(request, service, sent):
    return attempt(request, path="/switch/now", answer=f"{request}|{service}".encode(), sent=sent)


def switched_run(request, service):
    return run(request, service, path="/switch/now")


CASES = [
    ("in order", [attempt(), order(request="b", answer=b"b|shop")], [run(), order_run(request="b")], None),
    ("a safe request that ran twice", [attempt()], [run(), run()], None),
    ("a refused safe request that ran", [attempt(status=503)], [run()], None),
    ("nobody sent it", [], [run()], "unasked"),
    ("another path", [attempt()], [run(path="/shop/item/2")], "unasked"),
    ("another body", [order(body=b"x")], [order_run(body=b"y")], "unasked"),
    ("an order that ran twice", [order()], [order_run(), order_run()], "twice"),
    ("a refused order that ran", [order(status=503)], [order_run()], "not run, and run"),
    ("the answer to another request", [attempt(answer=b"b|shop")], [run()], "not its own answer"),
    ("an answer without a run", [attempt()], [], "not its own answer"),
    ("an answer without a stamp", [attempt(headers={})], [run()], "not its own answer"),
    ("a service that no routes allow", [attempt(answer=b"a|switch-0")], [run(service="switch-0")], "wrong service"),
    (
        "newer routes",
        [switched("a", "switch-1", 1), switched("b", "switch-2", 2)],
        [switched_run("a", "switch-1"), switched_run("b", "switch-2")],
        None,
    ),
    (
        "older routes again",
        [switched("a", "switch-2", 1), switched("b", "switch-1", 2)],
        [switched_run("a", "switch-2"), switched_run("b", "switch-1")],
        "older routes again",
    ),
]


class ChecksTest(unittest.TestCase):
    def test_cases(self):
        for name, attempts, runs, expected in CASES:
            with self.subTest(name):
                broken = broken_promises(attempts, runs)
                if expected is None:
                    self.assertEqual(broken, [])
                else:
                    self.assertTrue(any(line.startswith(expected) for line in broken), broken)


if __name__ == "__main__":
    unittest.main()
