"""Calls at the second address of a dispatcher, for the operators' commands."""

import http.client
import os
from argparse import Namespace
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from email.message import Message
from typing import Any

import orjson

from mastledge.program.configuration import ConfigurationError, configuration
from mastledge.transport.connection import address_of

CALL_TIMEOUT_S = 3.0
ADDRESS_VARIABLE = "GW_CONTROL"
OK, ACCEPTED = 200, 202


class CallError(Exception):
    """The dispatcher has refused a call or does not answer; the text is the line that says why."""


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to one call."""

    status: int
    headers: Message
    text: str


class OperatorClient:
    """Calls one dispatcher. All of them raise `CallError` where it does not answer or refuses."""

    def __init__(self, find_address: Callable[[], tuple[str, int]]) -> None:
        """`find_address` gives the dispatcher's second address. It is asked at the first call, not before: a
        command that is bad in itself says that first.
        """
        self.find_address = find_address

    def get(self, path: str) -> Response:
        """Read something."""
        response = self._call("GET", path)
        if response.status != OK:
            raise CallError(response.text.strip())
        return response

    def get_json(self, path: str) -> Any:
        """Read a JSON document."""
        return orjson.loads(self.get(path).text)

    def post(self, path: str, body: bytes, headers: Iterable[tuple[str, str]] = ()) -> str:
        """Ask for a change; gives the line that says what became of it."""
        response = self._call("POST", path, body, headers)
        if response.status not in (OK, ACCEPTED):
            raise CallError(response.text.strip())
        return response.text.strip()

    def _call(
        self, method: str, path: str, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
    ) -> Response:
        host, port = self.find_address()
        connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body, dict(headers))
            answer = connection.getresponse()
            return Response(answer.status, answer.headers, answer.read().decode())
        except (OSError, http.client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            raise CallError(f"{host}:{port} does not answer: {reason}") from None
        finally:
            connection.close()


def control_address(arguments: Namespace) -> tuple[str, int]:
    """The second address that --control, the environment or the configuration names, in this order.

    Raises `ConfigurationError` where none does.
    """
    text = arguments.control or os.environ.get(ADDRESS_VARIABLE)
    if text:
        try:
            return address_of(text)
        except ValueError as error:
            raise ConfigurationError(f"--control: {error}") from None
    if arguments.config:
        address = configuration(arguments.config, os.environ)["control"]
        if address:
            return address
    raise ConfigurationError("no second address: give --control, --config or set GW_CONTROL")
