Feature: A few hosts watch the store, and changes are pushed along a tree

  Scenario Outline: Each data centre has a few watchers, and a push tree for each version
    Given dissemination over <hosts> hosts of a data centre
    When dissemination chooses watchers and push targets for version 7
    Then dissemination has <watchers> watchers and reaches each host without extra pushes

    Examples:
      | hosts | watchers |
      | 1     | 1        |
      | 2     | 2        |
      | 8     | 3        |
      | 425   | 3        |

  Scenario: When a watcher is lost, the other watchers stay
    Given dissemination over 40 hosts of a data centre
    Then dissemination keeps the other watchers when the first is lost

  Scenario: Peers to pull from are random, and never the local host
    Given dissemination over 40 hosts of a data centre
    Then dissemination picks 3 peers that never include the local host
