"""What a scenario has done so far."""


class Story:
    """Hold what a scenario has done so far."""

    def __init__(self):
        self.deployment = None
        self.noticed = {}
        self.reclaimed_at = 0
        self.dead_entries = []
        self.hold_calls = []
        self.poison = []
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
        """Note when each request reached which worker and version."""
        for name, engine in self.system.engines.items():
            engine._start = self._note(name, engine._start, engine)

    def _note(self, name, start, engine):
        def noted(exchange, body, slowdown):
            version = str(body['model']).partition('@')[2]
            self.arrivals.append((self.world.now, name, version))
            start(exchange, body, slowdown)

        return noted


def get_move(story, version):
    return story.system.get_move(f'upstream-{story.deployment.engine}', version)
