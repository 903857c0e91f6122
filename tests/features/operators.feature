Feature: Operators hand back records under an order
  Operators declare a fleet and an order in a plan, review its output and submit it
  with the command line.

  Scenario: An order is handed back once, however often it is submitted
    Given a fleet with the plan's configuration
    When team archive submits the order's 30 records
    And team archive submits the order's 30 records
    Then 30 jobs are known
    And the order's report says "verdict:   complete"
    And the order's report says "30 ordered, 30 delivered"

  Scenario: A record that was never submitted is missed
    Given a fleet with the plan's configuration
    When team archive submits all but 2 of the order's records
    Then the order's report says "2 missing"
    And the order's report says "tape-0028: missing"
    And the last command ended with 7

  Scenario: The slower of two operators loses nothing
    Given a fleet with the plan's configuration
    When an operator raises the latency objective to 200 from revision 1
    And an operator raises the latency objective to 300 from revision 1
    Then the last command ended with 4
    And it printed "150.0 -> 200.0"
    And it printed "150.0 -> 300.0"
    And revision 2 is in force

  Scenario: A team cannot see another's order
    Given a fleet with the plan's configuration
    When team archive submits the order's 30 records
    And team water asks for the order's report
    Then the last command ended with 3
    And it printed "no order return-2026"

  Scenario: No shard answers
    Given a fleet with the plan's configuration
    And no shard has an owner
    When team archive submits the order's 30 records
    Then the last command ended with 6
    And it printed "repeating the same command is safe"
