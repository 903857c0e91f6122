"""The command line ``almondspan``.

Fire maps the command line to the methods of `Almondspan` and its groups. Each method
only returns a pending action, which is executed after the whole command line has been
parsed, so that a misspelt flag never leaves a command half executed. Results are
printed to standard output and errors to standard error; `exit_codes` lists the exit
codes.
"""

import argparse
import asyncio
import contextlib
import functools
import hashlib
import ipaddress
import os
import re
import secrets
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeVar
from urllib.parse import urlsplit

import fire
import msgspec
from fire import decorators
from fire.core import FireExit

from almondspan import burn_commands, config_commands, fleet_commands, job_commands
from almondspan.client import AdminClient, Connection
from almondspan.config_commands import ConfigFile, check_config, parse_revision
from almondspan.exit_codes import ExitCode
from almondspan.faults import FileFaults
from almondspan.files import read_text, usage_error
from almondspan.job_files import parse_jobs
from almondspan.results import Result
from almondspan.texts import (
    FILE_FAULT,
    NO_ENTRIES,
    NO_EXPECTED,
    NO_TOKEN,
    PLAIN_REFUSED,
    TOKEN_MADE,
)
from almondspan_decisions.tasks import JobSpec

__all__ = ["Almondspan", "main"]

ENTRIES_VARIABLE: Final = "ALMONDSPAN_ENTRIES"
TOKEN_VARIABLE: Final = "ALMONDSPAN_TOKEN"
CA_VARIABLE: Final = "ALMONDSPAN_CA"
CERT_VARIABLE: Final = "ALMONDSPAN_CERT"
KEY_VARIABLE: Final = "ALMONDSPAN_KEY"
ALLOW_PLAIN_VARIABLE: Final = "ALMONDSPAN_ALLOW_PLAIN"
TOKEN_BYTES: Final = 32

# Fire marks commands with an attribute. Its help lists all public attributes of a
# command, so the attribute is renamed to a private name.
decorators.FIRE_METADATA = "__fire_metadata__"

Method = TypeVar("Method", bound=Callable[..., object])
Action = Callable[[AdminClient], Awaitable[Result]]


@dataclass(frozen=True, slots=True)
class _Flags:
    entries: str
    token_file: str
    timeout_s: str
    json: bool


@dataclass(frozen=True, slots=True)
class _Pending:
    """A parsed command that has not been executed yet."""

    _flags: _Flags
    _action: Action | Result


def _string_arguments(method: Method) -> Method:
    """Make Fire pass arguments as strings instead of parsing them as Python values."""
    decorators.SetParseFn(str)(method)
    return method


class _Group:
    """A group of commands that share the global flags."""

    def __init__(self, flags: _Flags) -> None:
        self._flags = flags

    def _defer(self, action: Action) -> _Pending:
        return _Pending(self._flags, action)

    def _finish(self, result: Result) -> _Pending:
        return _Pending(self._flags, result)


class _Config(_Group):
    """Review and change the fleet's configuration."""

    @_string_arguments
    def show(self, revision: str = "") -> _Pending:
        """Print the configuration in force, or the stored REVISION.

        The first line contains the revision, where `config submit` finds it.
        """
        number = _parse_number("revision", revision)
        if isinstance(number, Result):
            return self._finish(number)
        return self._defer(
            functools.partial(config_commands.show_config, revision=number)
        )

    @_string_arguments
    def check(self, file: str) -> _Pending:
        """Check the configuration in FILE (- for standard input); sends nothing."""
        config = _read_config(file)
        if isinstance(config, ConfigFile):
            return self._finish(config_commands.check_passed(config))
        return self._finish(config)

    @_string_arguments
    def submit(self, file: str, expected: str = "", author: str = "") -> _Pending:
        """Put the configuration in FILE (- for standard input) in force.

        If the configuration has been changed since the revision that you edited,
        nothing is changed and both sets of changes are printed.

        Parameters
        ----------
        file
            The text that `python plan.py config` printed.
        expected
            The revision that you edited; 0 for the first configuration.
        author
            Your name for the history; your login name by default.
        """
        config = _read_config(file)
        if isinstance(config, Result):
            return self._finish(config)
        number = _parse_number("expected", expected)
        if isinstance(number, Result):
            return self._finish(number)
        if number is None:
            number = parse_revision(config.text)
        if number is None:
            return self._finish(usage_error(NO_EXPECTED))
        return self._defer(
            functools.partial(
                config_commands.submit_config,
                config=config,
                expected=number,
                author=_author_name(author),
            )
        )

    def history(self) -> _Pending:
        """List the stored revisions with their authors, oldest first."""
        return self._defer(config_commands.config_history)

    def status(self) -> _Pending:
        """Show the share of agents that have acknowledged each revision.

        Exits with 7 while an agent has an earlier revision.
        """
        return self._defer(config_commands.config_status)


class _Report(_Group):
    """Report on an order or on the services' burn rates."""

    @_string_arguments
    def order(self, name: str, records: str = "") -> _Pending:
        """Report on the order NAME: proof, progress, forecast, and late records.

        Exits with 7 if the deadline is at risk, a record has ended without being
        delivered, or the proof is incomplete.

        Parameters
        ----------
        name
            The order's name.
        records
            The file of the order's records, to list the missing ones by name.
        """
        ordered: tuple[str, ...] = ()
        if records:
            jobs = _read_jobs(records)
            if isinstance(jobs, Result):
                return self._finish(jobs)
            ordered = tuple(job.record_name for job in jobs)
        return self._defer(
            functools.partial(job_commands.report_order, name=name, ordered=ordered)
        )

    @_string_arguments
    def burn(self, html: str = "") -> _Pending:
        """Report how fast each service consumes its error budget.

        Exits with 7 if an alert is firing or the statistics of a process are missing.

        Parameters
        ----------
        html
            A file to which an HTML page with plots is written.
        """
        return self._defer(functools.partial(burn_commands.report_burn, html=html))


class _Fleet(_Group):
    """List agents and shards."""

    def agents(self) -> _Pending:
        """List the agents with the state that they last reported to the entry."""
        return self._defer(fleet_commands.list_agents)

    def shards(self) -> _Pending:
        """List the shards with their owners; exits with 7 if one has none."""
        return self._defer(fleet_commands.list_shards)


class Almondspan(_Group):
    """Review, submit and report on what almondspan runs.

    Every command accepts these flags:

    --entries URLS: the entries' administration addresses, separated by commas, such as
    http://127.0.0.1:8081; ALMONDSPAN_ENTRIES by default.

    --token_file PATH: a file that contains your team's token; by default the token is
    read from ALMONDSPAN_TOKEN.

    --timeout_s S: the time-out of a command in seconds; 30 by default.

    --json: print one JSON document instead of text.

    Exit codes: 0 done; 2 incorrect usage or invalid file; 3 refused; 4 conflict; 5 not
    done; 6 may have taken effect, repeat it; 7 a report shows something that needs
    attention.
    """

    def __init__(self, flags: _Flags) -> None:
        super().__init__(flags)
        self.config = _Config(flags)
        self.report = _Report(flags)
        self.fleet = _Fleet(flags)

    @_string_arguments
    def submit(self, file: str) -> _Pending:
        """Submit the jobs in FILE (- for standard input).

        Submitting a file again submits only jobs that are not yet known. Use
        `config submit` for configurations.
        """
        jobs = _read_jobs(file)
        if isinstance(jobs, Result):
            return self._finish(jobs)
        return self._defer(functools.partial(job_commands.submit_jobs, jobs=jobs))

    @_string_arguments
    def status(self, *job_ids: str, team: str = "") -> _Pending:
        """Show the status of jobs.

        Exits with 7 if a job is absent or has ended with another outcome than done.
        Operators name the TEAM; others can see only their own jobs.
        """
        if not job_ids:
            return self._finish(
                usage_error("which jobs? almondspan status JOB [JOB ...]")
            )
        return self._defer(
            functools.partial(job_commands.job_status, team=team, job_ids=job_ids)
        )

    @_string_arguments
    def cancel(self, *job_ids: str, team: str = "") -> _Pending:
        """Cancel jobs; the result shows which of them may have run.

        Operators name the TEAM; others can cancel only their own jobs.
        """
        if not job_ids:
            return self._finish(
                usage_error("which jobs? almondspan cancel JOB [JOB ...]")
            )
        return self._defer(
            functools.partial(job_commands.cancel_jobs, team=team, job_ids=job_ids)
        )

    @_string_arguments
    def diff(self, file: str) -> _Pending:
        """Show what the configuration in FILE would change; changes nothing."""
        config = _read_config(file)
        if isinstance(config, Result):
            return self._finish(config)
        return self._defer(
            functools.partial(config_commands.diff_config, config=config)
        )

    @_string_arguments
    def drain(self, agent_id: str, undo: bool | str = False) -> _Pending:
        """Stop the agent AGENT_ID from accepting new work; it finishes what it has.

        Stop its process once `fleet agents` shows no tasks and no shards there.

        Parameters
        ----------
        agent_id
            The agent's id, as `fleet agents` shows it.
        undo
            Let a draining agent accept work again.
        """
        if undo not in (True, False, "True"):
            return self._finish(usage_error(f"--undo takes no value: {undo}"))
        return self._defer(
            functools.partial(fleet_commands.drain, agent_id=agent_id, undo=bool(undo))
        )

    @_string_arguments
    def lost(self, kind: str, name: str, token: str = "") -> _Pending:
        """Declare a worker or place lost, in two steps.

        Without a token, prints the consequence and the token that confirms it.

        Parameters
        ----------
        kind
            worker or place.
        name
            The worker's id or the place's name.
        token
            The token that the first step printed.
        """
        if kind not in ("worker", "place"):
            return self._finish(
                usage_error("lost what? almondspan lost worker|place NAME")
            )
        return self._defer(
            functools.partial(
                fleet_commands.declare_loss, kind=kind, name=name, token=token
            )
        )

    def token(self) -> _Pending:
        """Generate a token for a team, with its digest for the plan."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        digest = hashlib.sha256(token.encode()).hexdigest()
        text = TOKEN_MADE.format(token=token, digest=digest)
        data = {"token": token, "token_sha256": digest}
        return self._finish(Result(ExitCode.DONE, text, data))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the command's exit code."""
    flags, words = _split_flags(sys.argv[1:] if arguments is None else arguments)
    program = Almondspan(flags)
    parsed = _parse_command(program, words)
    if isinstance(parsed, _Pending):
        result = _execute(parsed._flags, parsed._action)
        _print(result, parsed._flags.json)
        sys.exit(result.code)
    # A group was given without a command: print its help, which lists the commands.
    with contextlib.suppress(FireExit):
        _parse_command(program, [*words, "--help"])
    sys.exit(ExitCode.USAGE)


def _parse_command(program: Almondspan, words: list[str]) -> object:
    return fire.Fire(
        program, command=words, name="almondspan", serialize=lambda result: None
    )


def _split_flags(arguments: Sequence[str]) -> tuple[_Flags, list[str]]:
    """Split the arguments into the global flags, in any position, and the rest."""
    parser = argparse.ArgumentParser("almondspan", add_help=False, allow_abbrev=False)
    parser.add_argument("--entries", default="")
    parser.add_argument("--token_file", default="")
    parser.add_argument("--timeout_s", default="30")
    parser.add_argument("--json", action="store_true")
    given, words = parser.parse_known_args(arguments)
    return _Flags(given.entries, given.token_file, given.timeout_s, given.json), words


def _execute(flags: _Flags, action: Action | Result) -> Result:
    if isinstance(action, Result):
        return action
    connection = _make_connection(flags)
    if isinstance(connection, Result):
        return connection
    return asyncio.run(_run_action(connection, action))


def _print(result: Result, as_json: bool) -> None:
    """Print a result; ignore a reader that closes the pipe early."""
    is_text = result.code in (ExitCode.DONE, ExitCode.ATTENTION)
    stream = sys.stdout if as_json or is_text else sys.stderr
    text = result.text
    if as_json:
        document = {"exit_code": int(result.code), "result": result.data}
        text = msgspec.json.format(msgspec.json.encode(document), indent=1).decode()
    try:
        print(text, file=stream, flush=True)
    except BrokenPipeError:
        # The interpreter flushes the stream again at exit, which must not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())


async def _run_action(connection: Connection, action: Action) -> Result:
    client = AdminClient(connection)
    try:
        await client.start()
    except OSError as error:
        return usage_error(f"the certificates cannot be read: {error}")
    try:
        return await action(client)
    finally:
        await client.close()


def _make_connection(flags: _Flags) -> Connection | Result:
    entries = flags.entries or os.environ.get(ENTRIES_VARIABLE, "")
    addresses = tuple(part.strip().rstrip("/") for part in entries.split(",") if part)
    if not addresses:
        return usage_error(NO_ENTRIES)
    invalid = [item for item in addresses if not re.match(r"https?://\S+:\d+$", item)]
    if invalid:
        return usage_error(
            f"{invalid[0]} is not an address such as http://127.0.0.1:8081"
        )
    if not os.environ.get(ALLOW_PLAIN_VARIABLE):
        for address in addresses:
            if not _protects_token(address):
                return usage_error(PLAIN_REFUSED.format(address=address))
    token = os.environ.get(TOKEN_VARIABLE, "")
    if flags.token_file:
        try:
            token = Path(flags.token_file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return usage_error(f"--token_file: {error}")
    token = token.strip()
    if not token or not token.isascii() or not token.isprintable():
        return usage_error(NO_TOKEN)
    try:
        timeout_s = float(flags.timeout_s)
    except ValueError:
        return usage_error(f"--timeout_s = {flags.timeout_s}; allowed: seconds")
    return Connection(
        addresses=addresses,
        token=token,
        ca=os.environ.get(CA_VARIABLE, ""),
        cert=os.environ.get(CERT_VARIABLE, ""),
        key=os.environ.get(KEY_VARIABLE, ""),
        timeout_s=timeout_s,
    )


def _protects_token(address: str) -> bool:
    """Return whether `address` uses TLS or is on this machine."""
    url = urlsplit(address)
    if url.scheme == "https" or url.hostname == "localhost":
        return True
    try:
        return ipaddress.ip_address(url.hostname or "").is_loopback
    except ValueError:
        return False


def _read_config(file: str) -> ConfigFile | Result:
    text = read_text(file)
    return text if isinstance(text, Result) else check_config(file, text)


def _read_jobs(file: str) -> tuple[JobSpec, ...] | Result:
    text = read_text(file)
    if isinstance(text, Result):
        return text
    jobs = parse_jobs(text)
    if isinstance(jobs, FileFaults):
        lines = [FILE_FAULT.format(file=file, fault=fault) for fault in jobs.faults]
        return Result(ExitCode.USAGE, "\n".join(lines), {"faults": jobs.faults})
    return jobs


def _parse_number(flag: str, text: str) -> int | Result | None:
    if not text:
        return None
    if text.isascii() and text.isdigit() and len(text) <= 9:
        return int(text)
    return usage_error(f"--{flag} = {text}; allowed: a whole number")


def _author_name(given: str) -> str:
    name = given or os.environ.get("USER", "")
    return re.sub(r"[^a-z0-9._-]", "-", name.lower()).strip("._-")[:64]


if __name__ == "__main__":
    main()
