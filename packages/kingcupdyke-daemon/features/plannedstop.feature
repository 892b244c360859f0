Feature: A planned stop cuts off nothing that it has let begin

  # Guards against requests that are taken late in the grace period, passed on, and cut off at its
  # end (rule LOST).
  Scenario Outline: A request that can't end before the process does is rejected as not run: <case>
    Given plannedstop: a gateway with a grace period of <grace> s, whose requests have taken <usual> s
    When plannedstop: it is stopped, and <wait> s later gets a request that <kind> and takes <usual> s
    Then plannedstop: that request gets <status>, and has run: <has run>
    And plannedstop: the process ends within its grace period

    Examples:
      | case | grace | usual | wait | kind | status | has run |
      | a long one, late | 5 | 2.4 | 2.4 | runs once | 503 | no |
      | a long one that may be repeated | 5 | 2.4 | 2.4 | may be repeated | 503 | no |
      | a long one, early | 5 | 2.4 | 0.3 | runs once | 200 | yes |
      | a short one, late | 5 | 0.2 | 2.4 | runs once | 200 | yes |
      | a long one in a short grace period | 2 | 1.2 | 0.8 | runs once | 503 | no |

  Scenario: A request that takes longer than usual gets a final answer before the process is killed
    Given plannedstop: a gateway with a grace period of 2 s, whose requests have taken 0.1 s
    When plannedstop: it is stopped, and 0.5 s later gets a request that runs once and takes 9 s
    Then plannedstop: that request gets 502, and has run: yes
    And plannedstop: the process ends within its grace period

  # Guards against requests that are let in after the time, as the task that ends this comes late.
  Scenario: A process that stands still during its stop lets nothing in when it goes on
    Given plannedstop: a gateway with a grace period of 5 s, whose requests have taken 0.1 s
    When plannedstop: it is stopped, stands still from 1 to 3.2 s after that, and gets requests meanwhile
    Then plannedstop: none of them has run, and each got 503 or no connection

  Scenario: Many requests get their final answers at the end of the grace period
    Given plannedstop: a gateway with a grace period of 4 s, whose requests have taken 0.1 s
    When plannedstop: it is stopped with 150 requests in progress that take 9 s
    Then plannedstop: each that has run got 502, and each other one 503
    And plannedstop: the process ends within its grace period

  Scenario: A second signal to stop changes nothing
    Given plannedstop: a gateway with a grace period of 5 s, whose requests have taken 0.5 s
    When plannedstop: it is stopped twice, and 0.3 s later gets a request that runs once and takes 0.5 s
    Then plannedstop: that request gets 200, and has run: yes
    And plannedstop: the process ends within its grace period
