Feature: Requests are rejected only while all of them are read late

  # Guards against rejections in a burst, after a pause, and for longer than the delay lasts.
  Scenario Outline: Requests are read <how>
    When readdelay: requests are read at these times with these delays, in s: <reads>
    Then readdelay: they are <decisions>

    Examples:
      | how | reads | decisions |
      | in time | 0:0.01 0.1:0.1 0.5:0.15 | taken taken taken |
      | late in a short burst | 0:0.3 0.05:0.3 0.19:0.3 0.2:0.05 0.5:0.01 | taken taken taken taken taken |
      | late for long | 0:0.3 0.1:0.3 0.2:0.3 0.3:0.4 | taken taken rejected rejected |
      | late, then in time, then late | 0:0.3 0.3:0.3 0.4:0.1 0.5:0.3 0.65:0.3 0.72:0.3 | taken rejected taken taken taken rejected |
      | late twice, far apart | 0:0.3 5:0.3 5.1:0.3 5.2:0.3 | taken taken taken rejected |
