"""State that the steps of a scenario share."""


class Context:
    """Share a deployment and records of its faults and calls among steps.

    ``noticed_at`` maps the names of hosts to the times of their reclaim
    notices; ``arrivals`` are tuples of time, worker and version.
    """

    def __init__(self):
        self.deployment = None
        self.noticed_at = {}
        self.reclaimed_at = 0
        self.dead_entries = []
        self.hold_calls = []
        self.poison_calls = []
        self.first_configuration = None
        self.arrivals = []

    @property
    def system(self):
        return self.deployment.system

    @property
    def world(self):
        return self.deployment.world

    @property
    def traffic(self):
        return self.deployment.traffic

    def record_arrivals(self):
        """Record the time, worker and version of each request to an engine."""
        for name, engine in self.system.engines.items():
            engine._start = self._wrap_start(name, engine._start, engine)

    def _wrap_start(self, name, start, engine):
        def record_and_start(exchange, body, slowdown):
            version = str(body['model']).partition('@')[2]
            self.arrivals.append((self.world.now, name, version))
            start(exchange, body, slowdown)

        return record_and_start


def get_move(context, version):
    return context.system.get_move(
        f'upstream-{context.deployment.engine}', version
    )
