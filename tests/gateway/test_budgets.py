"""Retries of all entries together stay within the budget of an upstream."""

from citronjunction.gateway import budgets

RATIO = 0.2
WINDOW_S = 10.0
SLACK = 54


def test_a_storm_of_failures_stays_within_the_budget_of_all_entries():
    entries = [budgets.RetryBudget(RATIO, WINDOW_S, SLACK) for _ in range(7)]
    retries = []
    now = 100.0
    sent = 0
    while now < 110:
        for budget in entries:
            budget.record_request(now)
            sent += 1
            if budget.spend(len(entries), now):
                retries.append(now)
        now += 0.1

    assert len(retries) <= RATIO * sent + SLACK
    assert len(retries) >= 0.5 * (RATIO * sent + SLACK)


def test_an_entry_without_requests_has_its_share_of_the_slack():
    budget = budgets.RetryBudget(RATIO, WINDOW_S, SLACK)

    allowed = sum(budget.spend(7, 100.0) for _ in range(50))

    assert 1 <= allowed <= SLACK / 7


def test_retries_are_allowed_again_after_the_window():
    budget = budgets.RetryBudget(RATIO, WINDOW_S, SLACK)
    while budget.spend(7, 100.0):
        pass

    assert budget.spend(7, 100.0 + WINDOW_S + 1.1)
