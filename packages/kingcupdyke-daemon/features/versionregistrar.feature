Feature: Gateways keep the register of software versions in the store

  # Guards against requests that fail because many gateways add a version at the same time, and
  # against calls that a deployment with one version does not need.
  Scenario Outline: <count> gateways start at the same time <case>
    When versionregistrar: <count> gateways start with the register "<before>" and use "<versions>"
    Then versionregistrar: all may use them within 0.5 s, and the register is "<after>"
    And versionregistrar: there are <writes> writes, and each gateway makes at most <calls> calls

    Examples:
      | count | case | before | versions | after | writes | calls |
      | 1 | for the first time | | v1 | v1 | 1 | 2 |
      | 30 | for the first time | | v1 | v1 | 1 | 2 |
      | 30 | after a version was registered | v1 | v1 | v1 | 0 | 1 |
      | 30 | and two versions are new | | v1 v2 | v1 v2 | 2 | 4 |

  # Guards against a store that is asked once for each of many resumptions, and against resumptions
  # that wait for a store which does not answer.
  Scenario Outline: Many resumptions at once while the store <state>
    When versionregistrar: 50 resumptions arrive while the store <state>
    Then versionregistrar: each is decided as "<result>" within 0.25 s, after at most <reads> reads

    Examples:
      | state | result | reads |
      | answers after 0.05 s | v1 | 2 |
      | is down | the software versions can't be read | 2 |
      | hangs | the software versions can't be read | 2 |

  # Guards against streams at versions that the store does not name, after failures of the store.
  Scenario Outline: A version is registered although <case>
    When versionregistrar: a gateway uses "v2" beside "v1" while <case>
    Then versionregistrar: it may use v2 only once the register names it, and within 1.5 s

    Examples:
      | case |
      | the answer to its write is lost |
      | the store is down for 0.3 s |
      | the store came back from an older copy |
      | another gateway announces its removal |
