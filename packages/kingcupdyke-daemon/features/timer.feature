Feature: A process wakes up only for work that is due

  Scenario: Subscriptions that are due at the same time are called together
    When timer: subscriptions with periods of 0.02 s, 0.04 s and 0.1 s begin at different times and run for 1 s
    Then timer: each was called once per period
    And timer: 90 % of the calls with longer periods came within 2 ms of a call with the shortest one

  Scenario: A subscription whose callback takes longer than its period skips calls
    When timer: a callback with a period of 0.02 s takes 0.05 s, for 1 s
    Then timer: it was called at most 21 times, at multiples of its period

  Scenario: A queue without waiting requests is not polled
    When timer: a request waits in a queue for 0.3 s and is withdrawn
    Then timer: the queue was polled while it waited, and not before or later

  # Guards against decisions on waiting requests that take all of the time as more events ask for them.
  Scenario: Decisions that take long leave time for other work
    When timer: decisions take 0.01 s each, and events ask for one each 0.002 s, for 2 s
    Then timer: they have taken at most 0.25 of the time, and no two were more than 0.3 s apart
