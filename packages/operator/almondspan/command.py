"""The command ``almondspan``: reviews, submits and reports.

Each method below only describes what is to be done; it is carried out after the
whole command line was understood, so that a mistyped flag never leaves half a
command behind. Results go to the standard output, faults to the standard error;
`exit_codes` lists the codes.
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
from almondspan.config_commands import ConfigFile, check_config, edited_revision
from almondspan.exit_codes import ExitCode
from almondspan.faults import FileFaults
from almondspan.files import read_text, usage_fault
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

# Fire's help lists every public attribute of a command, its own mark included.
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
    """A command that was understood and is still to be carried out."""

    _flags: _Flags
    _action: Action | Result


def _typed_text(method: Method) -> Method:
    """Let Fire pass arguments as they were typed, not as Python values."""
    decorators.SetParseFn(str)(method)
    return method


class _Group:
    """Commands that share the flags of the whole command line."""

    def __init__(self, flags: _Flags) -> None:
        self._flags = flags

    def _ask(self, action: Action) -> _Pending:
        return _Pending(self._flags, action)

    def _end(self, result: Result) -> _Pending:
        return _Pending(self._flags, result)


class _Config(_Group):
    """Review and change the fleet's configuration."""

    @_typed_text
    def show(self, revision: str = "") -> _Pending:
        """Print the configuration in force, or a kept REVISION.

        Its first line names the revision; `config submit` reads it there.
        """
        number = _number("revision", revision)
        if isinstance(number, Result):
            return self._end(number)
        return self._ask(
            functools.partial(config_commands.show_config, revision=number)
        )

    @_typed_text
    def check(self, file: str) -> _Pending:
        """Check the configuration in FILE (- for standard input); sends nothing."""
        config = _read_config(file)
        if isinstance(config, ConfigFile):
            return self._end(config_commands.accept_check(config))
        return self._end(config)

    @_typed_text
    def submit(self, file: str, expected: str = "", author: str = "") -> _Pending:
        """Put the configuration in FILE (- for standard input) in force.

        If somebody else has changed the configuration since the revision that you
        edited, nothing is changed and both sides' changes are printed.

        Parameters
        ----------
        file
            The text that `python plan.py config` printed.
        expected
            The revision that you edited; 0 for the very first configuration.
        author
            Your name for the history; by default that of your login.
        """
        config = _read_config(file)
        if isinstance(config, Result):
            return self._end(config)
        number = _number("expected", expected)
        if isinstance(number, Result):
            return self._end(number)
        if number is None:
            number = edited_revision(config.text)
        if number is None:
            return self._end(usage_fault(NO_EXPECTED))
        return self._ask(
            functools.partial(
                config_commands.submit_config,
                config=config,
                expected=number,
                author=_author(author),
            )
        )

    def history(self) -> _Pending:
        """List the kept revisions with their authors, oldest first."""
        return self._ask(config_commands.config_history)

    def status(self) -> _Pending:
        """Tell what share of the agents has acknowledged which revision.

        Ends with 7 while some agent holds an earlier one.
        """
        return self._ask(config_commands.config_status)


class _Report(_Group):
    """Report an order or the services' burn."""

    @_typed_text
    def order(self, name: str, records: str = "") -> _Pending:
        """Report the order NAME: proof, progress, forecast, and what is late.

        Ends with 7 when the deadline is at risk, a record has ended otherwise than
        delivered, or the proof is not whole.

        Parameters
        ----------
        name
            The order's name.
        records
            The file of the order's records, to name those that are missing.
        """
        ordered: tuple[str, ...] = ()
        if records:
            jobs = _read_jobs(records)
            if isinstance(jobs, Result):
                return self._end(jobs)
            ordered = tuple(job.record_name for job in jobs)
        return self._ask(
            functools.partial(job_commands.report_order, name=name, ordered=ordered)
        )

    @_typed_text
    def burn(self, html: str = "") -> _Pending:
        """Report how fast each service spends its error budget.

        Ends with 7 when an alert fires or a process gave no figures.

        Parameters
        ----------
        html
            A file to write as a page with plots.
        """
        return self._ask(functools.partial(burn_commands.report_burn, html=html))


class _Fleet(_Group):
    """Look at agents and shards."""

    def agents(self) -> _Pending:
        """List the agents as the asked entry last heard of them."""
        return self._ask(fleet_commands.list_agents)

    def shards(self) -> _Pending:
        """List the shards with their owners; ends with 7 when one has none."""
        return self._ask(fleet_commands.list_shards)


class Almondspan(_Group):
    """Review, submit and report what almondspan runs.

    Every command takes these flags:

    --entries URLS: the entries' administration addresses, separated by commas, as
    http://127.0.0.1:8081; by default those in ALMONDSPAN_ENTRIES.

    --token_file PATH: a file that holds your team's token; by default the token is
    read from ALMONDSPAN_TOKEN.

    --timeout_s S: how long a command may take; 30 by default.

    --json: print one JSON document instead of text.

    Exit codes: 0 done; 2 usage or a file at fault; 3 refused; 4 conflict; 5 not
    done; 6 may be in force, repeat it; 7 a report names something that needs
    attention.
    """

    def __init__(self, flags: _Flags) -> None:
        super().__init__(flags)
        self.config = _Config(flags)
        self.report = _Report(flags)
        self.fleet = _Fleet(flags)

    @_typed_text
    def submit(self, file: str) -> _Pending:
        """Submit the jobs in FILE (- for standard input), each once.

        Submitting a file again submits only what is not yet known. Configurations
        are submitted with `config submit`.
        """
        jobs = _read_jobs(file)
        if isinstance(jobs, Result):
            return self._end(jobs)
        return self._ask(functools.partial(job_commands.submit_jobs, jobs=jobs))

    @_typed_text
    def status(self, *job_ids: str, team: str = "") -> _Pending:
        """Tell where jobs stand.

        Ends with 7 when one is absent or has ended otherwise than done. Operators
        name the TEAM; others ask for their own.
        """
        if not job_ids:
            return self._end(usage_fault("which jobs? almondspan status JOB [JOB ...]"))
        return self._ask(
            functools.partial(job_commands.job_status, team=team, job_ids=job_ids)
        )

    @_typed_text
    def cancel(self, *job_ids: str, team: str = "") -> _Pending:
        """Cancel jobs; one that may have run says so.

        Operators name the TEAM; others cancel their own.
        """
        if not job_ids:
            return self._end(usage_fault("which jobs? almondspan cancel JOB [JOB ...]"))
        return self._ask(
            functools.partial(job_commands.cancel_jobs, team=team, job_ids=job_ids)
        )

    @_typed_text
    def diff(self, file: str) -> _Pending:
        """Tell what the configuration in FILE would change; changes nothing."""
        config = _read_config(file)
        if isinstance(config, Result):
            return self._end(config)
        return self._ask(functools.partial(config_commands.diff_config, config=config))

    @_typed_text
    def drain(self, agent_id: str, undo: bool | str = False) -> _Pending:
        """Let the agent AGENT_ID take no new work and finish what it has.

        Stop its process when `fleet agents` shows no task and no shard there.

        Parameters
        ----------
        agent_id
            The agent's id, as `fleet agents` shows it.
        undo
            Let an agent that drains take work again.
        """
        if undo not in (True, False, "True"):
            return self._end(usage_fault(f"--undo takes no value: {undo}"))
        return self._ask(
            functools.partial(fleet_commands.drain, agent_id=agent_id, undo=bool(undo))
        )

    @_typed_text
    def lost(self, kind: str, name: str, token: str = "") -> _Pending:
        """Declare a worker or place lost, in two steps.

        Without a token it prints the consequence and the token that confirms it.

        Parameters
        ----------
        kind
            worker or place.
        name
            The worker's id or the place's name.
        token
            What the first step printed.
        """
        if kind not in ("worker", "place"):
            return self._end(
                usage_fault("lost what? almondspan lost worker|place NAME")
            )
        return self._ask(
            functools.partial(
                fleet_commands.declare_loss, kind=kind, name=name, token=token
            )
        )

    def token(self) -> _Pending:
        """Make a token for a team, with the digest that the plan holds."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        digest = hashlib.sha256(token.encode()).hexdigest()
        text = TOKEN_MADE.format(token=token, digest=digest)
        data = {"token": token, "token_sha256": digest}
        return self._end(Result(ExitCode.DONE, text, data))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and end the process with its exit code."""
    flags, words = _split_flags(sys.argv[1:] if arguments is None else arguments)
    program = Almondspan(flags)
    found = _understand(program, words)
    if isinstance(found, _Pending):
        result = _carry_out(found._flags, found._action)
        _print(result, found._flags.json)
        sys.exit(result.code)
    # A group was named without a command: its help says which there are.
    with contextlib.suppress(FireExit):
        _understand(program, [*words, "--help"])
    sys.exit(ExitCode.USAGE)


def _understand(program: Almondspan, words: list[str]) -> object:
    return fire.Fire(
        program, command=words, name="almondspan", serialize=lambda result: None
    )


def _split_flags(arguments: Sequence[str]) -> tuple[_Flags, list[str]]:
    """Return the flags of every command, wherever they stand, and the other words."""
    parser = argparse.ArgumentParser("almondspan", add_help=False, allow_abbrev=False)
    parser.add_argument("--entries", default="")
    parser.add_argument("--token_file", default="")
    parser.add_argument("--timeout_s", default="30")
    parser.add_argument("--json", action="store_true")
    given, words = parser.parse_known_args(arguments)
    return _Flags(given.entries, given.token_file, given.timeout_s, given.json), words


def _carry_out(flags: _Flags, action: Action | Result) -> Result:
    if isinstance(action, Result):
        return action
    connection = _connection(flags)
    if isinstance(connection, Result):
        return connection
    return asyncio.run(_ask_fleet(connection, action))


def _print(result: Result, as_json: bool) -> None:
    """Print a result; a reader that does not want all of it changes nothing."""
    is_text = result.code in (ExitCode.DONE, ExitCode.ATTENTION)
    stream = sys.stdout if as_json or is_text else sys.stderr
    text = result.text
    if as_json:
        document = {"exit_code": int(result.code), "result": result.data}
        text = msgspec.json.format(msgspec.json.encode(document), indent=1).decode()
    try:
        print(text, file=stream, flush=True)
    except BrokenPipeError:
        # The interpreter flushes once more at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())


async def _ask_fleet(connection: Connection, action: Action) -> Result:
    client = AdminClient(connection)
    try:
        await client.start()
    except OSError as error:
        return usage_fault(f"the certificates cannot be read: {error}")
    try:
        return await action(client)
    finally:
        await client.close()


def _connection(flags: _Flags) -> Connection | Result:
    entries = flags.entries or os.environ.get(ENTRIES_VARIABLE, "")
    addresses = tuple(one.strip().rstrip("/") for one in entries.split(",") if one)
    if not addresses:
        return usage_fault(NO_ENTRIES)
    wrong = [one for one in addresses if not re.match(r"https?://\S+:\d+$", one)]
    if wrong:
        return usage_fault(f"{wrong[0]} is no address as http://127.0.0.1:8081")
    if not os.environ.get(ALLOW_PLAIN_VARIABLE):
        for address in addresses:
            if not _is_safe(address):
                return usage_fault(PLAIN_REFUSED.format(address=address))
    token = os.environ.get(TOKEN_VARIABLE, "")
    if flags.token_file:
        try:
            token = Path(flags.token_file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return usage_fault(f"--token_file: {error}")
    token = token.strip()
    if not token or not token.isascii() or not token.isprintable():
        return usage_fault(NO_TOKEN)
    try:
        timeout_s = float(flags.timeout_s)
    except ValueError:
        return usage_fault(f"--timeout_s = {flags.timeout_s}; allowed: seconds")
    return Connection(
        addresses=addresses,
        token=token,
        ca=os.environ.get(CA_VARIABLE, ""),
        cert=os.environ.get(CERT_VARIABLE, ""),
        key=os.environ.get(KEY_VARIABLE, ""),
        timeout_s=timeout_s,
    )


def _is_safe(address: str) -> bool:
    """Tell whether a token sent to `address` stays on this machine or encrypted."""
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


def _number(flag: str, text: str) -> int | Result | None:
    if not text:
        return None
    if text.isascii() and text.isdigit() and len(text) <= 9:
        return int(text)
    return usage_fault(f"--{flag} = {text}; allowed: a whole number")


def _author(given: str) -> str:
    name = given or os.environ.get("USER", "")
    return re.sub(r"[^a-z0-9._-]", "-", name.lower()).strip("._-")[:64]


if __name__ == "__main__":
    main()
