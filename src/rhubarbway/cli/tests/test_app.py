"""Tests of the command-line tool."""

import json

import pytest
from typer.testing import CliRunner
from werkzeug.wrappers import Response

from rhubarbway.cli.app import app
from rhubarbway.edge import wire
from rhubarbway.edge.http_server import HttpServer
from rhubarbway.edge.json_codec import decode_json, hex_digest
from rhubarbway.model import ExecutionStatus, Failure, FailureKind
from rhubarbway.services.frontend import failure_response
from rhubarbway_standins.deployments import DEPLOYMENTS, generate_deployment

ITEMS = b'[{"shard":0,"fraction":1.0,"items":[{"q":1}]}]'


def run(*arguments):
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


def manifest_document():
    return generate_deployment(
        DEPLOYMENTS["dinas-kaligrafi"](), ports=iter(range(10000, 11000)), version=1
    )


@pytest.fixture
def entry_host():
    """Address of a fake entry host that answers queries with a coverage of one half.

    The job ``lost`` fails, the job ``foreign`` gets an answer with another ``request_id``, and an
    unsafe query needs the token ``t1``.
    """

    def respond(request):
        if request.path != "/v1/query":
            return Response(b'{"name":"e1","leaving":false}')
        body = decode_json(request.get_data())
        if body["job"] == "lost":
            failure = Failure(
                kind=FailureKind.NO_REPLICA, ran=ExecutionStatus.NOT_RUN, detail="none"
            )
            return failure_response(failure, request_id=body["request_id"])
        if body["unsafe"] and body.get("token") != "t1":
            failure = Failure(
                kind=FailureKind.TOKEN_REQUIRED,
                ran=ExecutionStatus.NOT_RUN,
                detail="send it",
                token="t1",
            )
            return failure_response(failure, request_id=body["request_id"])
        coverage = {
            "shards_total": 2,
            "shards_answered": 1,
            "fraction": 0.5,
            "missing": [{"shard": 1, "reason": "timed_out"}],
        }
        reply = {
            "request_id": "other" if body["job"] == "foreign" else body["request_id"],
            "job": body["job"],
            "meaning": "desk",
            "snapshot": "s-1",
            "coverage": coverage,
            "digest": hex_digest(ITEMS),
            "shards": decode_json(ITEMS),
        }
        return Response(wire.msgspec.json.encode(reply))

    server = HttpServer(
        address=("127.0.0.1", 0),
        handler=respond,
        error_handler=lambda status, detail: Response(detail, status=status),
        max_connections=8,
        name="fake",
    )
    server.start()
    yield f"127.0.0.1:{server.address[1]}"
    server.stop(grace_s=0.0)


class TestCheck:
    def test_five_errors_give_five_findings_with_places(self, tmp_path):
        """Guards against a check that stops after the first kind of error."""
        document = manifest_document().document
        document["version"] = 0
        document["tenants"][0]["polcy"] = {}
        document["services"][1]["shards"][2]["weight"] = "heavy"
        document["prefixes"][0]["service"] = "clerk-lokup"
        document["entry_hosts"][1]["name"] = document["entry_hosts"][0]["name"]
        file = tmp_path / "manifest.json"
        text = json.dumps(document, indent=1)
        file.write_text(text)
        result = run("check", file)
        lines = result.stdout.splitlines()
        assert result.exit_code == 1
        assert len(lines) == 5
        for path in (
            "$.version",
            "$.tenants[0].polcy",
            "$.services[1].shards[2].weight",
            "$.prefixes[0].service",
            "$.entry_hosts[1].name",
        ):
            (line,) = [line for line in lines if f" {path}: " in line]
            number = int(line.removeprefix(f"{file}:").partition(":")[0])
            assert path.rpartition(".")[2] in text.splitlines()[number - 1]

    def test_valid_manifest(self, tmp_path):
        """Guards against findings, or a failure exit code, for a valid manifest."""
        file = tmp_path / "manifest.json"
        file.write_text(json.dumps(manifest_document().document))
        result = run("check", file)
        assert (result.exit_code, result.stdout) == (0, f"{file}: valid manifest\n")

    def test_findings_in_settings_have_line_numbers(self, tmp_path):
        """Guards against findings with wrong line numbers in a file with comments."""
        file = tmp_path / "settings.json"
        file.write_text("// entry host\n{\n  zone: 3,\n  lissen: '127.0.0.1:1',\n}\n")
        result = run("check", file)
        assert result.exit_code == 1
        assert f"{file}:3: $.zone: 3 is not of type 'string'" in result.stdout
        assert f"{file}:4: $.lissen: unknown field" in result.stdout

    def test_missing_file(self, tmp_path):
        """Guards against reporting an unreadable file as an invalid one."""
        assert run("check", tmp_path / "absent.json").exit_code == 2


class TestQuery:
    def test_prints_coverage_snapshot_and_answer(self, entry_host):
        """Guards against a partial answer that is printed as if it were complete."""
        result = run("query", entry_host, "desk-lots", "--payload", '{"q": 1}')
        assert result.exit_code == 0
        assert "snapshot s-1, coverage 1/2 shards, missing shard 1 (timed_out)" in result.stdout
        assert ITEMS.decode() in result.stdout

    def test_unsafe_query_is_sent_with_the_token_of_the_refusal(self, entry_host):
        """Guards against reporting the refusal that contains the token as the final reply."""
        assert run("query", entry_host, "desk-lots", "--unsafe").exit_code == 0

    def test_failure_is_printed_with_its_kind(self, entry_host):
        """Guards against a failed query that exits with code 0 or does not state its failure."""
        result = run("query", entry_host, "lost")
        assert (result.exit_code, result.stdout) == (
            1,
            "status 503: no_replica, execution not_run: none\n",
        )

    def test_answer_to_another_request_is_not_shown(self, entry_host):
        """Guards against showing an answer whose ``request_id`` is that of another request."""
        result = run("query", entry_host, "foreign")
        assert result.exit_code == 1
        assert "foreign_answer, execution unknown" in result.stdout


class TestStatus:
    def test_prints_readiness_and_values(self, entry_host):
        """Guards against a status report that omits readiness or a value."""
        result = run("status", entry_host)
        assert (result.exit_code, result.stdout) == (0, "ready: yes\nname: e1\nleaving: false\n")

    def test_unreachable_host(self):
        """Guards against exit code 0 for a host that cannot be reached."""
        assert run("status", "127.0.0.1:1").exit_code == 1


class TestLoad:
    def test_reports_latency_coverage_and_failures(self, entry_host):
        """Guards against failed or partial answers that are missing from the report."""
        result = run(
            "load", entry_host, "--job", "desk", "--job", "lost", "--rate", 100, "--duration", 0.5
        )
        assert result.exit_code == 0
        assert "25 answered" in result.stdout
        assert "latency: p50" in result.stdout
        assert "coverage: mean 0.5000, all shards answered in 0/25" in result.stdout
        assert "failures: no_replica 25" in result.stdout

    def test_values_beyond_the_limits_are_usage_errors(self, entry_host):
        """Guards against a load test of unlimited duration or concurrency."""
        assert run("load", entry_host, "--job", "desk", "--duration", 1e9).exit_code == 2
        assert run("load", entry_host, "--job", "desk", "--concurrency", 10_000).exit_code == 2
