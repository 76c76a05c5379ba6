"""The adapter's side of the data plane's codec port."""

from citronjunction.gateway import models
from citronjunction.platform import ingress, upstream_calls
from citronjunction.transport import http_client, http_server


class PlatformCodec:
    """Translate between the platform's wire and the product's types."""

    def decode_request(
        self, request: http_server.Request
    ) -> models.CallerRequest:
        """Decode a caller's request."""
        return ingress.decode(request)

    def encode_call(
        self,
        request: models.CallerRequest,
        assignment: models.Assignment,
    ) -> http_client.Call:
        """Encode the request for the worker that it is assigned to."""
        return upstream_calls.encode(request, assignment)

    def decode_answer(self, head: http_client.Head) -> models.AnswerHead:
        """Decode the head of a worker's answer."""
        return upstream_calls.decode(head)
