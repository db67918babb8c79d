"""Parsing of settings, bundles, signatures, ids and tokens; docstrings of constants and events."""

import ast
import contextlib
import re
import socket
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from moledale.bundle import schema, signing
from moledale.bundle.diff import changes
from moledale.clock import SystemClock
from moledale.edge.sse import event_id, resume_index
from moledale.findings import Finding
from moledale.log import Event
from moledale.node.burn import BurnCount, burn_rows
from moledale.node.jobs import new_job_id, row_key
from moledale.node.metrics import make_metrics
from moledale.peers.auth import PeerTokens
from moledale.settings import MetricsSection, Settings, parse, read_secrets

ROOT = Path(__file__).parent.parent
SETTINGS = (ROOT / "examples" / "settings.toml").read_text("utf-8")
BUNDLE = (ROOT / "examples" / "bundle.toml").read_text("utf-8")


class ConstantsTest(unittest.TestCase):
    """Numeric constants have a docstring with their reason; adjacent ones may share it."""

    FOLDERS = ("core", "gateway", "platform")

    def test_each_constant_has_a_reason(self) -> None:
        missing = [
            f"{path.name}:{name}"
            for folder in self.FOLDERS
            for path in sorted((ROOT / "src" / "moledale" / folder).glob("*.py"))
            for name in self.constants_without_reason(path.read_text("utf-8"))
        ]
        self.assertEqual(missing, [])

    def test_constants_without_a_reason_are_found(self) -> None:
        text = 'A_S = 1.0\nB_S = 2.0\n"""Both."""\nC_S = 3.0\n\ndef f(): ...\nD = "text"\n'
        self.assertEqual(self.constants_without_reason(text), ["C_S"])

    def constants_without_reason(self, text: str) -> list[str]:
        """Return the numeric constants of a module that no docstring follows."""
        found: list[str] = []
        group: list[str] = []
        for node in ast.parse(text).body:
            if isinstance(node, ast.Assign) and self.is_numeric(node.value):
                group += [each.id for each in node.targets if isinstance(each, ast.Name)]
                continue
            is_text = isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
            found += [] if is_text else [name for name in group if name.isupper()]
            group = []
        return found + group

    def is_numeric(self, value: ast.expr) -> bool:
        """Return whether an expression consists of numbers only."""
        node_types = (ast.Constant, ast.BinOp, ast.operator, ast.UnaryOp, ast.unaryop)
        nodes = list(ast.walk(value))
        numbers = [each.value for each in nodes if isinstance(each, ast.Constant)]
        return all(isinstance(each, node_types) for each in nodes) and all(
            isinstance(each, int | float) and not isinstance(each, bool) for each in numbers
        )


class SettingsTest(unittest.TestCase):
    def finding_paths(self, text: str) -> list[str]:
        found = parse("f.toml", text)
        return [finding.path for finding in found.unwrap_err()] if found.is_err() else []

    def test_the_example_has_no_findings(self) -> None:
        self.assertEqual(self.finding_paths(SETTINGS), [])

    def test_findings(self) -> None:
        cases = [
            ("unknown key", SETTINGS.replace("hall =", "hull ="), ["node.hall", "node.hull"]),
            ("wrong type", SETTINGS.replace('"entry-1"', "7"), ["node.id"]),
            ("no port", SETTINGS.replace("127.0.0.1:8080", "entry"), ["node.listen"]),
            (
                "two sources",
                SETTINGS.replace("{ env =", '{ file = "x", env =', 1),
                ["secrets.peer"],
            ),
            ("key", SETTINGS.replace("11qYAYKx", "11qY"), ["operators"]),
            ("out of bounds", SETTINGS + "[limits]\nqueue = 0\n", ["limits.queue"]),
            ("not a number", SETTINGS + '[times]\ndrain_s = "x"\n', ["times.drain_s"]),
            ("not TOML", "[node", [""]),
            ("all together", "[node]\nid = 1\n", None),
        ]
        for name, text, expected in cases:
            with self.subTest(name):
                found = self.finding_paths(text)
                if expected is None:
                    self.assertGreaterEqual(len(found), 8)
                else:
                    self.assertEqual(sorted(found), expected)

    def test_findings_name_file_and_key(self) -> None:
        found = parse("f.toml", SETTINGS.replace("hall =", "hull =")).unwrap_err()
        self.assertIn("f.toml: node.hull: unknown key", [str(finding) for finding in found])

    def test_secrets_are_reported_together_and_never_shown(self) -> None:
        settings = parse("f.toml", SETTINGS).unwrap()
        found = read_secrets("f.toml", settings)
        self.assertEqual([f.path for f in found.unwrap_err()], ["secrets.peer", "secrets.operator"])
        self.assertNotIn("SECRET-VALUE", repr(settings))

    @given(st.text(max_size=200))
    def test_any_text_gives_findings_and_never_an_exception(self, text: str) -> None:
        self.assertTrue(parse("f", text).is_err())

    @given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=5))
    def test_any_value_of_a_key_gives_findings(self, value: object) -> None:
        with self.assertRaises(ValueError):
            Settings.model_validate({"node": value})


class BundleTest(unittest.TestCase):
    def finding_messages(self, text: str) -> list[str]:
        found = schema.parse("b", text.encode())
        return [str(finding) for finding in found.unwrap_err()] if found.is_err() else []

    def test_the_example_has_no_findings(self) -> None:
        self.assertEqual(self.finding_messages(BUNDLE), [])

    def test_findings(self) -> None:
        cases = [
            (
                "unknown model",
                BUNDLE.replace('model = "cover-7b"', 'model = "x"'),
                "adapters[0].model",
            ),
            ("unknown hall", BUNDLE.replace('hall = "hall-b"', 'hall = "x"'), "prices[1].hall"),
            ("twice", BUNDLE.replace('name = "travel"', 'name = "brokers"'), "accounts"),
            ("no target", BUNDLE.replace('"can-wait"', '"normal"'), "targets"),
            ("a key, not a digest", BUNDLE.replace("sha256:", "", 1), "key_digests"),
            ("weights", BUNDLE.replace("cost = 0.7", "cost = -1"), "weights.cost"),
            ("both weights 0", BUNDLE.replace("0.7", "0").replace("0.3\n", "0\n"), "weights"),
            ("version", BUNDLE.replace("version = 1", "version = 0"), "version"),
            ("unknown key", BUNDLE + "colour = 1\n", "renting.colour: unknown key"),
        ]
        for name, text, expected in cases:
            with self.subTest(name):
                self.assertIn(expected, " ".join(self.finding_messages(text)))

    def test_lookup_by_name(self) -> None:
        bundle = schema.parse("b", BUNDLE.encode()).unwrap()
        claims, none = bundle.model("claims"), bundle.model("none")
        self.assertEqual((claims.name if claims else "", none), ("cover-7b", None))
        account = bundle.account_for("brokers-key")
        self.assertEqual(account.name if account else "", "brokers")
        self.assertIsNone(bundle.account_for("sha256:"))

    def test_diff_identifies_entries_by_name(self) -> None:
        before = schema.parse("b", BUNDLE.encode()).unwrap()
        text = BUNDLE.replace("version = 1", "version = 2", 1).replace("0.45", "0.50")
        found = changes(before, schema.parse("b", text.encode()).unwrap())
        shown = [(c.path, c.before, c.after) for c in found]
        expected = ("prices[hall-b/small].reclaimable", 0.45, 0.5)
        self.assertEqual(shown, [expected, ("version", 1, 2)])

    @given(st.binary(max_size=200))
    def test_any_bytes_give_findings(self, body: bytes) -> None:
        self.assertTrue(schema.parse("b", body).is_err())


class SigningTest(unittest.TestCase):
    def test_signatures(self) -> None:
        key = signing.load_private_key(signing.generate_private_key())
        assert key is not None
        keys = {"anna": signing.encode_public_key(key)}
        good = signing.sign(b"body", "anna", key)
        stranger = signing.sign(b"body", "eve", key)
        odd = signing.Signature("anna", "no base64")
        valid, wrong = signing.verify_signatures(b"body", [good, stranger, odd], keys)
        self.assertEqual((valid, len(wrong)), ({"anna"}, 2))
        changed, _ = signing.verify_signatures(b"body ", [good], keys)
        self.assertEqual(changed, set())
        self.assertIsNone(signing.load_private_key(b"nothing"))


class IdsTest(unittest.TestCase):
    @given(st.text(max_size=30), st.integers(0, 10**6))
    def test_event_ids(self, request_id: str, index: int) -> None:
        self.assertEqual(resume_index(request_id, event_id(request_id, index)), index + 1)

    @given(st.text(max_size=30))
    def test_malformed_event_ids(self, text: str) -> None:
        found = resume_index("req", text)
        self.assertTrue(found is None or text == f"req.{text.rsplit('.', 1)[1]}")

    @given(st.text(max_size=40))
    def test_malformed_job_ids(self, text: str) -> None:
        with contextlib.suppress(ValueError):
            self.assertIn("/", row_key(text))

    def test_job_ids(self) -> None:
        job = new_job_id("hall_a-1")
        self.assertEqual(row_key(job).split("/")[0], "hall_a-1")

    def test_peer_tokens(self) -> None:
        tokens = PeerTokens("n1", "s" * 32, SystemClock())
        other = PeerTokens("n2", "t" * 32, SystemClock())
        self.assertEqual(tokens.check(tokens.token()), "n1")
        for text in (other.token(), "", "a.b.c"):
            self.assertIsNone(tokens.check(text))


class BurnTest(unittest.TestCase):
    def test_rows_merge_nodes_and_windows(self) -> None:
        bundle = schema.parse("b", BUNDLE.encode()).unwrap()
        now = 60_000 * 60.0
        counts = [
            BurnCount(60_000 - 2, "brokers", schema.Priority.IMMEDIATE, 45, 5),
            BurnCount(60_000 - 2, "brokers", schema.Priority.IMMEDIATE, 50, 0),
            BurnCount(60_000 - 120, "brokers", schema.Priority.IMMEDIATE, 100, 0),
        ]
        (row,) = burn_rows(bundle, counts, now)
        self.assertEqual(row.requests, {"5m": 100, "1h": 100, "6h": 200, "24h": 200})
        self.assertEqual((row.burn["5m"], row.burn["6h"]), (1.0, 0.5))


class MetricsTest(unittest.TestCase):
    def test_statsd(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(10)
            address = f"127.0.0.1:{receiver.getsockname()[1]}"
            metrics = make_metrics(MetricsSection(statsd=address, prefix="here"))
            metrics.incr("requests.good")
            self.assertEqual(receiver.recv(100), b"here.requests.good:1|c")
        make_metrics(MetricsSection()).incr("nothing")


class CatalogueTest(unittest.TestCase):
    def test_every_event_is_in_the_catalogue_with_its_meaning(self) -> None:
        page = (ROOT / "docs" / "EVENTS.md").read_text("utf-8")
        rows = dict(re.findall(r"^\| E(\d+) \| `\w+` \| \w+ \| (.+?) \|", page, re.M))
        self.assertEqual(rows, {str(e.value.number): e.value.meaning for e in Event})
        numbers = [event.value.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_a_finding_without_a_path(self) -> None:
        self.assertEqual(str(Finding("f", "", "gone")), "f: gone")
        self.assertIsInstance(parse("f", ""), Err)


if __name__ == "__main__":
    unittest.main()
