Feature: Who watches the store and who passes news on

  Scenario Outline: Each data centre has a few watchers and one push tree a version
    Given spreading over <hosts> hosts of a data centre
    When spreading chooses watchers and push targets for version 7
    Then spreading has <watchers> watchers, reaches every host and spares its pushes

    Examples:
      | hosts | watchers |
      | 1     | 1        |
      | 2     | 2        |
      | 8     | 3        |
      | 425   | 3        |

  Scenario: The loss of a host moves no watcher but its own place
    Given spreading over 40 hosts of a data centre
    Then spreading keeps the other watchers when it loses the first

  Scenario: Peers to pull from are others, and change with chance
    Given spreading over 40 hosts of a data centre
    Then spreading picks 3 peers that never include the own host
