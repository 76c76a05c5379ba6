"""Codec of callers' requests and workers' answers."""

from citronjunction.gateway import models
from citronjunction.platform import caller_requests, upstream_calls
from citronjunction.transport import http_client, http_server


class PlatformCodec:
    """Implement the gateway's ``Codec`` port for the users' platform."""

    def decode_request(
        self, request: http_server.Request
    ) -> models.CallerRequest:
        """Decode a caller's request."""
        return caller_requests.decode(request)

    def encode_call(
        self,
        request: models.CallerRequest,
        assignment: models.Assignment,
    ) -> http_client.Call:
        """Encode the request for the worker that it is assigned to."""
        return upstream_calls.encode(request, assignment)

    def encode_forwarded(
        self,
        request: models.CallerRequest,
        forwarding: models.Forwarding,
    ) -> http_client.Call:
        """Encode a caller's request for a peer."""
        return upstream_calls.encode_forwarded(request, forwarding)

    def decode_answer(self, head: http_client.Head) -> models.AnswerHead:
        """Decode the head of a worker's answer."""
        return upstream_calls.decode(head)
