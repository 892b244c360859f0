Feature: Endpoints that send bytes without end take neither the memory nor the time of others

  # Guards against a process that ends, with the requests of all its clients, as a faulty endpoint's
  # bytes use up its memory.
  Scenario Outline: 250 clients get bytes without end: <case>
    Given endlessprocess: a gateway with two endpoints that send "<script>", and three sound ones
    When endlessprocess: four clients ask the sound ones, and then 250 clients "<route>" the others too
    Then endlessprocess: the memory of the gateway has grown by at most 40 MB
    And endlessprocess: no request at a sound endpoint has failed

    Examples:
      | case | script | route |
      | a line of a head | head | /resume/ |
      | the lines of a head | lines | /resume/ |
      | heads that announce another one | early | /resume/ |
      | no HTTP | garbage | /resume/ |
      | the extension of a chunk | extension | /resume/ |
      | trailers | trailers | /resume/ |
      | an event | event | /resume/ |
      | an event of a stream that is not resumable | event | /stream/ |
      | an event of a stream with a length | sizedevent | /resume/ |
      | a million bytes of an event, then silence | longevent | /resume/ |
      | 50,000 bytes of an event, then silence | shortevent | /resume/ |
      | a body up to the end of its connection | body | /resume/ |
      | a body in chunks | chunks | /resume/ |

  # Guards against an endpoint whose bytes the process reads before it comes back to others.
  Scenario: Requests at sound endpoints don't wait for bytes without end
    Then endlessprocess: beside 250 clients no request at a sound endpoint takes 0.2 s longer than before
      | script | route |
      | head | /resume/ |
      | lines | /resume/ |
      | early | /resume/ |
      | garbage | /resume/ |
      | extension | /resume/ |
      | trailers | /resume/ |
      | event | /resume/ |
      | event | /stream/ |
      | sizedevent | /resume/ |
      | longevent | /resume/ |
      | shortevent | /resume/ |
      | body | /resume/ |
      | chunks | /resume/ |
