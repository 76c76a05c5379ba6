Feature: What must always hold, at the real sizes of both deployments

  Background: Callers ask questions, fetch dossiers and place holds all along.

  Scenario Outline: An announced reclaim loses nothing
    Given the <deployment> deployment with callers
    When <reclaim> with <notice> s of notice
    And <seconds> s pass
    And the callers stop
    Then every accepted request is answered whole
    And no hold ran twice
    And leaving workers got no new work after 3 s

    Examples:
      | deployment | reclaim                                   | notice | seconds |
      | Atlas      | a data centre's workers are reclaimed     | 5      | 10      |
      | Lin        | a data centre's workers are reclaimed     | 5      | 10      |
      | Atlas      | a whole data centre is reclaimed          | 5      | 10      |
      | Lin        | a whole data centre is reclaimed          | 5      | 10      |
      | Atlas      | an entry is reclaimed                     | 4      | 10      |
      | Lin        | an entry is reclaimed                     | 4      | 10      |
      | Atlas      | two data centres' workers are reclaimed   | 5      | 12      |

  Scenario: A worker gets no new work though the host list lags a minute
    Given the Atlas deployment with callers and a host list that lags 60 s
    When a data centre's workers are reclaimed with 20 s of notice
    And 25 s pass
    And the callers stop
    Then every accepted request is answered whole
    And leaving workers got no new work after 3 s

  Scenario Outline: Workers die without notice
    Given the <deployment> deployment with callers
    When a model engine dies
    And 3 s pass
    And a model engine dies
    And 8 s pass
    And the callers stop
    Then every stream is answered whole
    And no hold ran twice

    Examples:
      | deployment |
      | Atlas      |
      | Lin        |

  Scenario Outline: Processes die partway through a reclaim
    Given the <deployment> deployment with callers
    When a data centre's workers are reclaimed with 5 s of notice and die after 1 s
    And 8 s pass
    And the callers stop
    Then every stream is answered whole
    And no hold ran twice

    Examples:
      | deployment |
      | Atlas      |
      | Lin        |

  Scenario Outline: Holds run at most once through faults of the store
    Given the <deployment> deployment with callers
    When the store <fault>
    And 6 s pass
    And the store is well
    And 8 s pass
    And the callers stop
    Then every accepted request is answered whole
    And no hold ran twice

    Examples:
      | deployment | fault                 |
      | Atlas      | is down               |
      | Lin        | is down               |
      | Atlas      | loses 20 answers      |
      | Lin        | loses 20 answers      |
      | Atlas      | takes 1 s a call      |

  Scenario: The store is down while a data centre is reclaimed
    Given the Lin deployment with callers
    When the store is down
    And a whole data centre is reclaimed with 5 s of notice
    And 8 s pass
    And the store is well
    And 8 s pass
    And the callers stop
    Then every accepted request is answered whole
    And no hold ran twice

  Scenario Outline: An entry dies without notice
    Given the <deployment> deployment with callers
    When an entry dies
    And 10 s pass
    And the callers stop
    Then no hold ran twice
    And every caller of a dead entry saw that its stream was cut

    Examples:
      | deployment |
      | Atlas      |
      | Lin        |

  Scenario: The same hold is sent to two entries at the same moment
    Given the Atlas deployment with callers
    When one hold is sent to every entry at once
    And 3 s pass
    And the callers stop
    Then the hold ran once and every sender has the same answer
    And no hold ran twice

  Scenario: A request that crashes each engine that runs it
    Given the Atlas deployment with callers
    When a poisoned question is sent through every entry in turn
    And 10 s pass
    And the callers stop
    Then at most 2 workers crashed
    And every stream is answered whole

  Scenario: A region is split for longer than any fact of an entry is kept
    Given the Atlas deployment with callers
    When the callers stop
    And two data centres lose the others
    And 700 s pass
    And an operator adds the organisation new-one
    And the split heals
    Then the configuration is in force on every entry within 15 s

  Scenario: A new entry starts while the store is down
    Given the Atlas deployment with callers
    When the callers stop
    And the store is down
    And a new entry starts
    Then the configuration is in force on every entry within 15 s

  Scenario: The store answers with an old configuration
    Given the Lin deployment with callers
    When an operator adds the organisation new-one
    And 3 s pass
    And the store goes back to the first revision
    And 5 s pass
    And the callers stop
    Then no entry goes back to the first revision
