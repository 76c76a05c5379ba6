"""Interfaces that a platform's adapter implements for the data plane."""

from typing import Protocol

from citronjunction.gateway import models
from citronjunction.transport import http_client, http_server


class Codec(Protocol):
    """Translate between HTTP messages and the gateway's types."""

    def decode_request(
        self, request: http_server.Request
    ) -> models.CallerRequest:
        """Decode a caller's request."""

    def encode_call(
        self,
        request: models.CallerRequest,
        assignment: models.Assignment,
    ) -> http_client.Call:
        """Encode a request for the worker of its assignment."""

    def encode_forwarded(
        self,
        request: models.CallerRequest,
        forwarding: models.Forwarding,
    ) -> http_client.Call:
        """Encode a caller's request for a peer."""

    def decode_answer(self, head: http_client.Head) -> models.AnswerHead:
        """Decode the head of a worker's answer."""
