"""Rolling upgrade: processes of the production version are replaced by the current one.

The production version is the commit that ``deploy/service.toml`` names. All runs on loopback.
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
from mosswalk.wire.tokens import first_token_of_range
from tests.fakes import job_spec
from tests.loopback import LoopbackCluster, settings_toml
from tests.test_cluster import UserClient, wait_until

ROOT = Path(__file__).resolve().parent.parent
FAST_TUNING_HCL = """
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
def production_checkout(tmp_path_factory):
    """A directory with the sources of the production version."""
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


class ProductionControllers:
    """Controller processes of the production version, by name."""

    def __init__(self, cluster: LoopbackCluster, checkout: Path) -> None:
        self.cluster = cluster
        self.checkout = checkout
        self.running: dict[str, subprocess.Popen] = {}

    def start(self, name: str) -> None:
        settings = self.cluster.settings[name]
        path = self.checkout / f"{name}.toml"
        lines = settings_toml(settings)
        lines += ["[params.state.next]", "value_kb = 2.0", "txn_ops = 5"]
        path.write_text("\n".join(lines))
        path.with_suffix(".hcl").write_text(FAST_TUNING_HCL)
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


def run_mixed_cluster_test(test, checkout):
    async def run():
        async with AsyncExitStack() as stack:
            cluster = LoopbackCluster()
            # The limits of the state service for controllers of the current version: requests and
            # writes per second, kB per value, operations per transaction. The last two are those
            # that settings of the production version only announce, as [params.state.next].
            cluster.state_limits = StateLimits(5000.0, 500.0, 2.0, 5)
            await cluster.start(stack, start_controllers=False)
            processes = ProductionControllers(cluster, checkout)
            stack.callback(processes.stop)
            await test(cluster, processes, UserClient(cluster))
            assert cluster.violations == []

    asyncio.run(asyncio.wait_for(run(), 120))


async def submit_until_accepted(users, job, node):
    """Submit a job until a controller accepts it, since it can't decide at once after a start."""
    body = msgspec.json.encode(job)
    await users.poll_until(
        "POST", "/api/jobs", lambda s, b: s in (200, 201), 20.0, body=body, node=node
    )


def test_rolling_upgrade_keeps_jobs_running(production_checkout):
    async def test(cluster, processes, users):
        names = list(cluster.addresses)
        cluster.daemon_jobs.add("j-000001")
        cluster.task_duration_s = 1.0
        for name in names:
            processes.start(name)
        daemon = job_spec("j-000001", kind="daemon", tasks=3, spot=False)
        await submit_until_accepted(users, daemon, names[0])
        await submit_until_accepted(
            users, job_spec("j-000002", tasks=300, cpus=0.25, memory_gb=0.1), names[1]
        )
        await wait_until(
            lambda: sum(t.startswith("j-000001") for t in cluster.running_on) == 3, 20.0
        )
        gang = job_spec("j-000009", kind="group", tasks=4, spot=False)
        for i, name in enumerate(names):
            placement = {t: m for t, m in cluster.running_on.items() if t.startswith("j-000001")}
            assert len(placement) == 3
            processes.kill(name)
            await cluster.start_controller(name)
            await users.poll_until("GET", "/healthz", lambda s, b: s == 200, 20.0, node=name)
            # Jobs sent to any controller run, whichever version leads or owns teams by now.
            job = job_spec(f"j-00001{i}", tasks=40, cpus=0.5, memory_gb=0.1)
            await submit_until_accepted(users, job, names[i])
            await users.poll_until(
                "GET",
                f"/api/jobs/{job.id}",
                lambda s, b: s == 200 and b["phase"] == "done",
                30.0,
                node=names[(i + 1) % 3],
            )
            if i < 2:
                # Gangs need the new version on all controllers: refused until then, to be retried.
                status, _ = await users.submit(gang, name)
                assert status == 503 and int(users.headers["Retry-After"]) >= 1
        await submit_until_accepted(users, gang, names[0])
        await users.wait_until_done(gang.id, 30.0)
        await users.wait_until_done("j-000002", 30.0)
        # From now on no copy of a command starts anything, be it from before the upgrade.
        workers = [worker for worker, _ in cluster.workers.values()]
        await wait_until(
            lambda: all(worker.term >= first_token_of_range(1) for worker in workers), 10.0
        )
        assert sum(len(worker.executed_messages) for worker in workers) > 10
        assert [worker.receive_copies() for worker in workers] == [set()] * len(workers)
        # The upgrade has not stopped or moved any task of the daemon job.
        assert {
            t: m for t, m in cluster.running_on.items() if t.startswith("j-000001")
        } == placement

    run_mixed_cluster_test(test, production_checkout)


def test_production_controller_joining_after_upgrade_gets_no_lead_and_no_teams(
    production_checkout,
):
    async def test(cluster, processes, users):
        names = list(cluster.addresses)
        for name in names:
            await cluster.start_controller(name)

        def term_record():
            row = cluster.state_service.store.rows.get(records.TERM_KEY)
            return records.decode_term(row[0]) if row is not None else None

        await wait_until(lambda: term_record() is not None and term_record().version > 1)
        await submit_until_accepted(
            users, job_spec("j-000001", kind="group", tasks=2, spot=False), names[0]
        )
        await cluster.kill_controller(names[2])
        processes.start(names[2])

        def presence_version():
            row = cluster.state_service.store.rows.get(records.NODE_PREFIX + names[2])
            return records.decode_presence(row[0]).version if row is not None else None

        await wait_until(lambda: presence_version() == 1, 15.0)
        assert presence_version() == 1
        await asyncio.sleep(3.0)
        assert names[2] not in term_record().runs and names[2] not in term_record().owners.values()
        await users.wait_until_done("j-000001", 20.0)
        # It does not lead alone either, and jobs that it accepts run once others come back.
        record_before = term_record()
        for name in names[:2]:
            await cluster.kill_controller(name)
        await submit_until_accepted(users, job_spec("j-000002", tasks=2), names[2])
        await asyncio.sleep(4.0)
        assert term_record() == record_before
        await cluster.start_controller(names[0])
        await users.poll_until(
            "GET",
            "/api/jobs/j-000002",
            lambda s, b: s == 200 and b["phase"] == "done",
            30.0,
            node=names[0],
        )
        assert term_record().version > 1 and set(term_record().owners.values()) == {names[0]}

    run_mixed_cluster_test(test, production_checkout)
