"""Tests of addresses that others state, of which some can't be connected to."""

import asyncio
import unittest

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from moledale.gateway.upstream import ConnectFailed, connect
from moledale.host_port import split_address

UNUSABLE = (
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    f"127.0.0.1:{2**70}",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:80\n",
    "a\0b:80",
    "a b:80",
    "a\r\nb:80",
    "a..b:80",
    "a" * 64 + ":80",
    "\ud800:80",
)


class AddressesTest(unittest.TestCase):
    def test_unusable_addresses_are_refused(self) -> None:
        for address in UNUSABLE:
            with self.subTest(address[:24]), self.assertRaises(ValueError):
                split_address(address)

    def test_usable_addresses(self) -> None:
        for address, expected in (
            ("127.0.0.1:1", ("127.0.0.1", 1)),
            ("host.example:65535", ("host.example", 65_535)),
            ("::1:80", ("::1", 80)),
        ):
            self.assertEqual(split_address(address), expected)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.one_of(st.text(max_size=30), st.text(max_size=30).map(lambda host: host + ":80")))
    def test_any_text(self, address: str) -> None:
        try:
            host, port = split_address(address)
        except ValueError:
            return
        self.assertEqual((bool(host), 0 < port <= 65_535), (True, True))


class ConnectTest(unittest.TestCase):
    """A request whose connection raised another error got no answer."""

    def test_unusable_addresses_fail_to_connect_with_the_documented_error(self) -> None:
        async def work() -> None:
            for address in UNUSABLE:
                with self.subTest(address[:24]), self.assertRaises(ConnectFailed):
                    await connect(address)

        asyncio.run(work())
        uvloop.run(work())


if __name__ == "__main__":
    unittest.main()
