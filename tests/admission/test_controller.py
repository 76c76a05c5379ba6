"""Admission control: slot limits, early refusal and expired requests."""

from citronjunction.admission import controller, models
from citronjunction.conf import models as conf
from citronjunction.organisations import models as organisations

STANDARD = organisations.RequestClass.standard
BACKGROUND = organisations.RequestClass.background


def build_controller(slots=2, **changes):
    admission = controller.Controller(conf.Admission(**changes))
    admission.limiter.slots = slots
    return admission


def build_ticket(name='a', cost=100.0, kind=STANDARD, deadline=60.0):
    return models.Ticket('r', name, kind, cost, 0.0, deadline)


def test_requests_run_up_to_the_limit_and_then_queue():
    admission = build_controller(slots=2)
    kinds = [type(admission.offer(build_ticket())) for _ in range(3)]
    assert kinds == [models.Admitted, models.Admitted, models.Queued]


def test_request_with_a_long_expected_wait_is_refused_with_a_retry_time():
    admission = build_controller(slots=1)
    admission.tokens_per_s = 100
    results = [admission.offer(build_ticket()) for _ in range(30)]
    refused = [
        result for result in results if isinstance(result, models.Refused)
    ]
    queued = [result for result in results if isinstance(result, models.Queued)]
    assert refused and queued
    assert all(result.expected_wait_s <= 10 for result in queued)
    assert all(result.retry_after_s >= 1 for result in refused)


def test_background_request_may_wait_longer_than_a_standard_one():
    admission = build_controller(slots=1)
    admission.tokens_per_s = 10
    admission.offer(build_ticket())
    admission.offer(build_ticket(cost=300))
    assert isinstance(admission.offer(build_ticket()), models.Refused)
    allowed = admission.offer(build_ticket(kind=BACKGROUND, deadline=600))
    assert isinstance(allowed, models.Queued)


def test_flood_of_one_organisation_does_not_refuse_another():
    admission = build_controller(slots=1)
    admission.tokens_per_s = 100
    for _ in range(200):
        admission.offer(build_ticket('flood'))
    assert isinstance(admission.offer(build_ticket('quiet')), models.Queued)


def test_queued_request_past_its_deadline_is_not_run():
    admission = build_controller(slots=1)
    first = build_ticket()
    admission.offer(first)
    late = build_ticket(deadline=5.0)
    admission.offer(late)
    admission.finish(first, 1)
    ticket, expired = admission.take_next(now=6.0)
    assert ticket is None
    assert expired == [late]


def test_limit_falls_when_first_tokens_are_late_and_recovers():
    admission = build_controller(slots=100)
    for _ in range(200):
        admission.limiter.record(5.0)
    low = admission.limiter.limit
    for _ in range(2000):
        admission.limiter.record(0.01)
    assert low < 50
    assert admission.limiter.limit == 100


def test_latency_limit_does_not_queue_an_organisation_within_its_share():
    admission = build_controller(slots=16)
    for _ in range(10):
        admission.offer(build_ticket('flood'))
    admission.offer(build_ticket('quiet'))
    for _ in range(400):
        admission.limiter.record(5.0)
    assert admission.limiter.limit < admission.running
    assert isinstance(admission.offer(build_ticket('flood')), models.Queued)
    assert isinstance(admission.offer(build_ticket('quiet')), models.Admitted)


def test_one_organisation_gets_at_most_its_slot_share_while_others_are_active():
    admission = build_controller(slots=16)
    admission.offer(build_ticket('quiet'))
    kinds = [type(admission.offer(build_ticket('flood'))) for _ in range(16)]
    assert kinds.count(models.Admitted) == 12
    assert isinstance(admission.offer(build_ticket('quiet')), models.Admitted)
