"""What the data plane needs from the adapter of a platform."""

from typing import Protocol

from citronjunction.gateway import models
from citronjunction.transport import http_client, http_server


class Codec(Protocol):
    """Translate between the wire and the product's types."""

    def decode_request(
        self, request: http_server.Request
    ) -> models.CallerRequest:
        """Decode a caller's request."""

    def encode_call(
        self,
        request: models.CallerRequest,
        assignment: models.Assignment,
    ) -> http_client.Call:
        """Encode the request for the worker that it is assigned to."""

    def decode_answer(self, head: http_client.Head) -> models.AnswerHead:
        """Decode the head of a worker's answer."""
