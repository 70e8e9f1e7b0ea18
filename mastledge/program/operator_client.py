"""An HTTP client for the operators' API of a dispatcher."""

import http.client
import os
from argparse import Namespace
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from email.message import Message
from typing import Any

import orjson

from mastledge.program.configuration import ConfigurationError, load_configuration
from mastledge.transport.connection import address_of

CALL_TIMEOUT_S = 3.0
ADDRESS_VARIABLE = "GW_CONTROL"
OK, ACCEPTED = 200, 202


class CallError(Exception):
    """The dispatcher refused a call or did not answer; the message says why in one line."""


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to one call."""

    status: int
    headers: Message
    text: str


class OperatorClient:
    """Calls one dispatcher; all calls raise `CallError` if it refuses or does not answer."""

    def __init__(self, find_address: Callable[[], tuple[str, int]]) -> None:
        """Create a client; `find_address` returns the operators' address of the dispatcher.

        `find_address` runs at the first call: an invalid command is thus reported before a missing address.
        """
        self.find_address = find_address

    def get(self, path: str) -> Response:
        """Return the response to a GET request."""
        response = self._call("GET", path)
        if response.status != OK:
            raise CallError(response.text.strip())
        return response

    def get_json(self, path: str) -> Any:
        """Return the JSON document at `path`."""
        return orjson.loads(self.get(path).text)

    def post(self, path: str, body: bytes, headers: Iterable[tuple[str, str]] = ()) -> str:
        """Send a POST request and return the text of the answer, which states the result."""
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
    """Return the operators' address from --control, the environment or the configuration, in this order.

    Raise `ConfigurationError` if none of them names it.
    """
    text = arguments.control or os.environ.get(ADDRESS_VARIABLE)
    if text:
        try:
            return address_of(text)
        except ValueError as error:
            raise ConfigurationError(f"--control: {error}") from None
    if arguments.config:
        address = load_configuration(arguments.config, os.environ)["control"]
        if address:
            return address
    raise ConfigurationError("no operators' address: give --control, --config or set GW_CONTROL")
