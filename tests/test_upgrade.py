"""Real processes of the production version beside ours, on loopback, replaced one by one.

The production version is taken from the repository's history, as ``deploy/service.toml`` names it.
"""

import asyncio
import os
import subprocess
import sys
import tarfile
import tomllib
from contextlib import AsyncExitStack
from io import BytesIO
from pathlib import Path

import msgspec
import pytest

from mosswalk.config import StateLimits
from mosswalk.store import records
from tests.fakes import job_spec
from tests.loopback import LoopbackCluster, settings_toml
from tests.test_cluster import Users, until

ROOT = Path(__file__).resolve().parent.parent
QUICK = """
leadership {
  ttl_s   = 0.6
  renew_s = 0.2
}
factory {
  period_s     = 0.1
  high_dwell_s = 0.0
}
"""


@pytest.fixture(scope="module")
def production(tmp_path_factory):
    """A checkout of the production version."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    archive = subprocess.run(
        ["git", "archive", deploy["production"], "mosswalk", "run.py"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    path = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=BytesIO(archive)) as packed:
        packed.extractall(path, filter="data")
    return path


class Processes:
    """Controllers of the production version."""

    def __init__(self, world: LoopbackCluster, checkout: Path) -> None:
        self.world = world
        self.checkout = checkout
        self.running: dict[str, subprocess.Popen] = {}

    def start(self, name: str) -> None:
        settings = self.world.settings[name]
        path = self.checkout / f"{name}.toml"
        lines = settings_toml(settings)
        lines += ["[params.state.next]", "value_kb = 2.0", "txn_ops = 5"]
        path.write_text("\n".join(lines))
        path.with_suffix(".hcl").write_text(QUICK)
        self.running[name] = subprocess.Popen(
            [sys.executable, "run.py", "--config", str(path)],
            cwd=self.checkout,
            env={**os.environ, "LOG_LEVEL": "error"},
        )

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        for name in list(self.running):
            self.kill(name)


def mixed(test, checkout):
    async def run():
        async with AsyncExitStack() as stack:
            world = LoopbackCluster()
            # The new version keeps to the limits of later from the start.
            world.limits = StateLimits(5000.0, 500.0, 2.0, 5)
            await world.start(stack, start_controllers=False)
            processes = Processes(world, checkout)
            stack.callback(processes.stop)
            await test(world, processes, Users(world))
            assert world.broken == []

    asyncio.run(asyncio.wait_for(run(), 120))


async def submitted(users, job, node):
    """A job is taken by a controller, once it can decide."""
    body = msgspec.json.encode(job)
    await users.eventually(
        "POST", "/api/jobs", lambda s, b: s in (200, 201), 20.0, body=body, node=node
    )


def test_versions_are_replaced_one_by_one_while_jobs_run(production):
    async def test(world, processes, users):
        names = list(world.addresses)
        world.services.add("j-000001")
        world.task_s = 1.0
        for name in names:
            processes.start(name)
        service = job_spec("j-000001", kind="daemon", tasks=3, spot=False)
        await submitted(users, service, names[0])
        await submitted(users, job_spec("j-000002", tasks=300, cpus=0.25, memory_gb=0.1), names[1])
        await until(lambda: sum(t.startswith("j-000001") for t in world.on) == 3, 20.0)
        gang = job_spec("j-000009", kind="group", tasks=4, spot=False)
        for i, name in enumerate(names):
            where = {t: m for t, m in world.on.items() if t.startswith("j-000001")}
            assert len(where) == 3
            processes.kill(name)
            await world.start_controller(name)
            await users.eventually("GET", "/healthz", lambda s, b: s == 200, 20.0, node=name)
            # Each takes jobs that all of them run, whoever leads and owns by now.
            job = job_spec(f"j-00001{i}", tasks=40, cpus=0.5, memory_gb=0.1)
            await submitted(users, job, names[i])
            await users.eventually(
                "GET",
                f"/api/jobs/{job.id}",
                lambda s, b: s == 200 and b["phase"] == "done",
                30.0,
                node=names[(i + 1) % 3],
            )
            if i < 2:
                # Not before all are new: told at once, to be asked again.
                status, _ = await users.submit(gang, name)
                assert status == 503 and int(users.headers["Retry-After"]) >= 1
        await submitted(users, gang, names[0])
        await users.done(gang.id, 30.0)
        await users.done("j-000002", 30.0)
        # What the service runs on was never stopped by the change.
        assert {t: m for t, m in world.on.items() if t.startswith("j-000001")} == where

    mixed(test, production)


def test_an_old_controller_that_joins_afterwards_gets_no_lead_and_no_teams(production):
    async def test(world, processes, users):
        names = list(world.addresses)
        for name in names:
            await world.start_controller(name)

        def term():
            row = world.state.store.rows.get(records.TERM_KEY)
            return records.decode_term(row[0]) if row is not None else None

        await until(lambda: term() is not None and term().version > 1)
        await submitted(users, job_spec("j-000001", kind="group", tasks=2, spot=False), names[0])
        await world.kill_controller(names[2])
        processes.start(names[2])

        def shown():
            row = world.state.store.rows.get(records.NODE_PREFIX + names[2])
            return records.decode_presence(row[0]).version if row is not None else None

        await until(lambda: shown() == 1, 15.0)
        assert shown() == 1
        await asyncio.sleep(3.0)
        assert names[2] not in term().runs and names[2] not in term().owners.values()
        await users.done("j-000001", 20.0)
        # Alone it does not lead either, and what it takes is run by those that come back.
        before = term()
        for name in names[:2]:
            await world.kill_controller(name)
        await submitted(users, job_spec("j-000002", tasks=2), names[2])
        await asyncio.sleep(4.0)
        assert term() == before
        await world.start_controller(names[0])
        await users.eventually(
            "GET",
            "/api/jobs/j-000002",
            lambda s, b: s == 200 and b["phase"] == "done",
            30.0,
            node=names[0],
        )
        assert term().version > 1 and set(term().owners.values()) == {names[0]}

    mixed(test, production)
