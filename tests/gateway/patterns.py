"""A fleet and prompts for tests of the selection of workers."""

import random

from citronjunction.gateway import choosing, fleet, models

NOW = 50.0


def build(count=8, upstream='llm', zone='z1'):
    pool = fleet.Fleet()
    for number in range(count):
        registration = models.WorkerRegistration(
            f'w{number}',
            upstream,
            f'10.0.0.{number}:80',
            zone if number % 2 else 'z2',
            'v1',
            6,
            models.WorkerState.ready,
            False,
            1,
            0,
        )
        pool.register(registration, NOW)
    return pool, choosing.Chooser(pool, 'z1', random.Random(3))


def prompt(part='p1', shared=5000, own=6000):
    parts = (
        models.PromptPart('common', 500),
        models.PromptPart(part, shared - 500),
        models.PromptPart('own', own),
    )
    return models.Prompt('m', shared + own, 400, parts)
