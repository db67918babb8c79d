"""Demo: starts stand-ins and three nodes on loopback and sends the main kinds of request."""

import json
import sys
import time
from urllib.request import Request, urlopen

from standins.local_fleet import CALL_TIMEOUT_S, LocalFleet

ENGINES = {"engine-a": "hall-a", "engine-b": "hall-b"}
NODES = {"entry-1": "hall-a", "entry-2": "hall-a", "entry-3": "hall-b"}
AUTH_HEADERS = {"Authorization": "Bearer brokers-key"}
JOB_TIMEOUT_S = 20.0


def call(
    method: str, url: str, body: object = None, headers: dict[str, str] | None = None
) -> tuple[dict[str, str], str]:
    """Send an authenticated request; return the headers, names in lower case, and the body."""
    data = None if body is None else json.dumps(body).encode()
    request = Request(url, data=data, method=method, headers={**AUTH_HEADERS, **(headers or {})})
    with urlopen(request, timeout=CALL_TIMEOUT_S) as response:
        response_headers = {name.lower(): value for name, value in response.headers.items()}
        return response_headers, response.read().decode()


def main() -> int:
    """Run the demo; return 0 if all nodes stopped with exit code 0."""
    fleet = LocalFleet()
    try:
        _start_fleet(fleet)
        _roll_bundle(fleet)
        endpoint = _resolve_address(fleet)
        _stream_completion(endpoint)
        _print_route(fleet, endpoint, "the stream")
        _run_job(endpoint)
        _print_route(fleet, endpoint, "stream and job")
        _call_idempotent_service(endpoint)
        print(
            "  passed through", _node_at(fleet, endpoint), "and", fleet.procs["eligibility"].address
        )
        _show_reports(fleet)
        return _stop_nodes(fleet)
    finally:
        fleet.close()


def _start_fleet(fleet: LocalFleet) -> None:
    for name, hall in ENGINES.items():
        fleet.start_engine(name, hall, "--checks-fence")
    fleet.start_standin("eligibility", "standins.service")
    for name, hall in NODES.items():
        fleet.start_node(name, hall)
    print("started:", ", ".join(f"{p.name} at {p.address}" for p in fleet.procs.values()))


def _roll_bundle(fleet: LocalFleet) -> None:
    bundle = fleet.write_bundle(service=fleet.procs["eligibility"].address)
    print("\n$ moledale bundle check bundle.toml")
    print(fleet.cli("bundle", "check", str(bundle)).stdout)
    fleet.sign(bundle)
    result = fleet.cli("bundle", "roll", str(bundle), node="entry-1")
    print("$ moledale bundle roll bundle.toml")
    print(result.stdout or result.stderr)
    took_s = fleet.wait_ready(list(NODES), servers=2)
    print(f"in force on all nodes, models loaded, {took_s:.2f} s later")


def _resolve_address(fleet: LocalFleet) -> str:
    url = f"http://{fleet.procs['entry-3'].address}/v1/addresses?session=anna-1"
    found = json.loads(call("GET", url)[1])
    print("\naddresses for session anna-1:", found)
    return str(found["addresses"][0]["address"])


def _stream_completion(address: str) -> None:
    body = {"model": "claims", "prompt": "Is hail covered?", "max_tokens": 12, "stream": True}
    headers = {"Moledale-Session": "anna-1", "Moledale-Priority": "immediate"}
    answer_headers, text = call("POST", f"http://{address}/v1/completions", body, headers)
    events = [line for line in text.splitlines() if line.startswith("data: ")]
    tokens = [json.loads(line[6:])["choices"][0]["text"] for line in events[:-1]]
    usage = json.loads(events[-2][6:])["usage"]
    print("\nstreamed through", address, "as", answer_headers["moledale-request"])
    print("  text:", "".join(tokens))
    print("  usage:", usage, "end:", events[-1])


def _run_job(address: str) -> None:
    body = {"model": "cover-7b", "prompt": "Summarise the claims of 2025.", "max_tokens": 30}
    headers, _ = call("POST", f"http://{address}/v1/completions", body, {"Prefer": "respond-async"})
    url = f"http://{address}{headers['location']}"
    deadline = time.monotonic() + JOB_TIMEOUT_S
    state = ""
    while state != "done" and time.monotonic() < deadline:
        status = json.loads(call("GET", url)[1])
        if status["state"] != state:
            state = status["state"]
            print("\njob", headers["location"], "is", state)
        time.sleep(0.05)
    print("  text:", json.loads(call("GET", f"{url}/result")[1])["choices"][0]["text"][:60], "…")


def _call_idempotent_service(address: str) -> None:
    url = f"http://{address}/v1/services/eligibility/check"
    key = {"Idempotency-Key": "file-4711"}
    print("\nnot-repeatable call, sent twice with one key:")
    for _ in range(2):
        print("  answer:", call("POST", url, {"traveller": "Anna"}, key)[1])


def _node_at(fleet: LocalFleet, address: str) -> str:
    """Return the name of the node that listens at an address."""
    return next(name for name in NODES if fleet.procs[name].address == address)


def _print_route(fleet: LocalFleet, address: str, label: str) -> None:
    """Print the node that a request was sent to and the engines that have run attempts so far."""
    engines = []
    for name in ENGINES:
        counts = json.loads(call("GET", f"http://{fleet.procs[name].address}/control/counts")[1])
        if counts["attempts"]:
            engines.append(f"{name} ({counts['attempts']} attempts)")
    print(f"  {label} passed through {_node_at(fleet, address)} and", ", ".join(engines))


def _show_reports(fleet: LocalFleet) -> None:
    print("\n$ moledale fleet show")
    print(fleet.cli("fleet", "show", node="entry-1").stdout)
    print("$ moledale report burn")
    print(fleet.cli("report", "burn", node="entry-1").stdout)


def _stop_nodes(fleet: LocalFleet) -> int:
    codes = {name: fleet.stop(name) for name in NODES}
    print("planned stop, exit codes:", codes)
    return 0 if set(codes.values()) == {0} else 1


if __name__ == "__main__":
    sys.exit(main())
