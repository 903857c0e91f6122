Feature: A fleet of real processes keeps its promises while processes come and go
  Two entries and three agents run on loopback with stand-ins of the store, the
  workers and the runners. The scenarios share one fleet and depend on their order.

  Scenario: A configuration comes into force and outlives the entry that took it
    Given a fleet of 2 entries and 3 agents
    When entry 0 accepts a configuration
    Then the configuration is in force at 3 agents within 16 s
    When entry 0 is killed
    Then the configuration is in force at 3 agents within 16 s
    And 20 calls through entry 1 are answered completely
    When entry 0 is replaced
    Then 20 calls through entry 0 are answered completely

  Scenario: SIGTERM of an agent cuts off no call, and its shards move
    Given a fleet of 2 entries and 3 agents
    When runners take 3 s and 12 calls are in progress
    And agent 0 gets SIGTERM
    Then all calls in progress are answered completely
    And agent 0 ends with 0 within 40 s
    And every shard has an owner other than agent 0 within 30 s
    When agent 0 is replaced

  Scenario: SIGTERM of an entry cuts off no call
    Given a fleet of 2 entries and 3 agents
    When runners take 3 s and 12 calls are in progress
    And entry 1 gets SIGTERM
    Then all calls in progress are answered completely
    And entry 1 ends with 0 within 40 s
    And 20 calls through entry 0 are answered completely
    When entry 1 is replaced

  Scenario: A request that is not idempotent runs once, whichever entry it comes to
    Given a fleet of 2 entries and 3 agents
    When the same bill is sent to entry 0 and then to entry 1
    Then the first response is complete and the second is reported as a repetition
    And the runners recorded the bill once

  Scenario: During an outage of the store calls go on, and jobs run after it
    Given a fleet of 2 entries and 3 agents
    When the store has an outage
    Then 20 calls through entry 0 are answered completely
    And a submitted job is not reported as accepted
    When the store returns
    Then the job is submitted again and ends done within 60 s
