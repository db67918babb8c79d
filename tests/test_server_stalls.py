"""A sound server that sends nothing for a second is judged once for it, a dead one as before."""

import asyncio
import unittest

from moledale.gateway.messages import Server
from moledale.gateway.server_stalls import MAX_STALL_S, MIN_STALL_S
from moledale.gateway.server_view import ServerView
from tests.gateway_world import Arrival, GatewayWorld, answer, make_plan, run_quietly, run_ticks


def make_view() -> ServerView:
    """Return a view of a server with four requests since time 10."""
    view = ServerView(Server("s1", "plain", "127.0.0.1:1", "hall-a", 4), running=4, busy_since=10.0)
    view.record_data(10.0)
    return view


class OutcomesTest(unittest.TestCase):
    def counted(self, view: ServerView, outcomes: list[tuple[float, float]]) -> int:
        """Return how many outcomes count, each given by the times of its request and answer."""
        return sum(not view.is_stall_counted(sent_at, at) for sent_at, at in outcomes)

    def test_requests_that_one_stall_delayed_count_once(self) -> None:
        view = make_view()
        view.record_data(11.1)
        outcomes = [(10.0 + number / 100, 11.1 + number / 1000) for number in range(4)]
        self.assertEqual(self.counted(view, outcomes), 1)

    def test_requests_given_up_during_the_stall_count_with_those_answered_after_it(self) -> None:
        view = make_view()
        self.assertEqual(self.counted(view, [(10.0, 10.9)]), 1)
        view.record_data(11.1)
        self.assertEqual(self.counted(view, [(10.0, 11.1), (10.1, 11.1)]), 0)

    def test_requests_sent_after_the_stall_count(self) -> None:
        view = make_view()
        view.record_data(11.1)
        self.assertEqual(self.counted(view, [(10.0, 11.1), (11.2, 11.3), (11.2, 11.4)]), 3)

    def test_each_stall_counts(self) -> None:
        view = make_view()
        view.record_data(10.0 + 2 * MIN_STALL_S)
        self.assertEqual(self.counted(view, [(10.0, 11.0)]), 1)
        view.record_data(12.0)
        self.assertEqual(self.counted(view, [(11.0, 12.0)]), 1)

    def test_all_requests_of_a_server_that_stays_silent_count(self) -> None:
        view = make_view()
        late = 10.0 + MAX_STALL_S + 0.1
        self.assertEqual(self.counted(view, [(10.0, late), (10.1, late), (10.2, late)]), 3)


class JudgedVersionTest(unittest.TestCase):
    def test_pause_of_one_server_is_one_observation_of_its_version(self) -> None:
        paused = asyncio.Event()

        async def pause(
            arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await paused.wait()
            writer.write(answer(arrival))

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", pause)
                outcomes: list[float] = []
                world.balancer.on_outcome = lambda _p, _s, _f, took: outcomes.append(took)
                ticking = asyncio.create_task(run_ticks(world))
                asked = [
                    asyncio.create_task(world.send_request("/order/", request_id=f"r{number}"))
                    for number in range(4)
                ]
                await asyncio.sleep(0.8)
                paused.set()
                for task in asked:
                    self.assertEqual((await task).status, 200)
                ticking.cancel()
                self.assertEqual(len(outcomes), 1)

        run_quietly(work())


if __name__ == "__main__":
    unittest.main()
