"""A platform that starts the workers which a scaler orders, in virtual time."""

from citronjunction.duties import models, scaling
from citronjunction.gateway import models as gateway

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9}
LIMITS = gateway.Scaling(1, 3, 4.0, 0.18, PRICES)


class FakePlatform:
    """Start ordered workers after the boot time, unless it refuses them."""

    def __init__(self, on_demand, limits=LIMITS):
        self.limits = limits
        self.scaler = scaling.Scaler('llm')
        self.now = 100.0
        self.running = dict(on_demand)
        self.starting = []
        self.refuses_reclaimable = False
        self.dry_zones = set()
        self.has_callers = False
        # Fields of the state that a test adds.
        self.seen = {}
        self.orders = []

    def run(self, seconds, tokens_per_s=None):
        end = self.now + seconds
        while self.now < end:
            self.step(tokens_per_s)
            self.now += 0.5

    def step(self, tokens_per_s):
        for at, key, count in tuple(self.starting):
            if at <= self.now:
                self.starting.remove((at, key, count))
                self.running[key] = count
        state = self.build_state(tokens_per_s)
        for order in self.scaler.decide(state, self.now):
            self.scaler.record_sent(order, self.now)
            self.scaler.record_result(order, self._place(order), self.now)

    def build_state(self, tokens_per_s):
        workers = {
            key: scaling.WorkerCount(count)
            for key, count in self.running.items()
        }
        return scaling.UpstreamState(
            self.limits,
            workers,
            tokens_per_s,
            has_callers=self.has_callers,
            **self.seen,
        )

    def replace_holder(self, observed_s, tokens_per_s):
        """Let an entry decide that has only watched for some time."""
        self.scaler = scaling.Scaler('llm')
        for step in range(round(observed_s * 2)):
            at = self.now - observed_s + step / 2
            self.scaler.observe(self.build_state(tokens_per_s), at)

    def _place(self, order):
        self.orders.append((self.now, order))
        key = (order.zone, order.is_reclaimable)
        running = self.running.get(key, 0)
        is_dry = self.refuses_reclaimable or order.zone in self.dry_zones
        if is_dry and order.is_reclaimable and order.count > running:
            return models.CallResult.unobtainable
        if order.count < running:
            self.running[key] = order.count
        elif order.count > running:
            self.starting.append((self.now + 4, key, order.count))
        return models.CallResult.accepted

    def reclaim(self, zone):
        self.running[(zone, True)] = 0

    def count(self, is_reclaimable):
        return sum(
            count
            for (_, reclaimable), count in self.running.items()
            if reclaimable is is_reclaimable
        )
