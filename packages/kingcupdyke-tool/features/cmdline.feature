Feature: The command line reports errors with a usable message and exit code

  Scenario Outline: A command prints to the right stream and returns its exit code
    When cmdline runs <words>
    Then cmdline exits with <code> and prints "<text>" on <stream>

    Examples:
      | words                                      | code | text               | stream |
      | --help                                     | 0    | Exit codes: 0 success | stdout |
      | rules apply --help                         | 0    | replaces all rules | stdout |
      | rules check EXAMPLES/rozhodci-plan.yaml    | 0    | 66 rules, no errors | stdout |
      | rules check EXAMPLES/hoja-del-dia.yaml     | 0    | 81 rules, no errors | stdout |
      | rules check BROKEN                         | 2    | BROKEN:1: token_sha256 | stderr |
      | rules check BROKEN --json                  | 2    | "exit_code": 2     | stdout |
      | rules check missing.yaml                   | 2    | can't be read      | stderr |
      | rules show                                 | 2    | --settings         | stderr |
      | rules show --settings BROKEN               | 2    | write store: URL   | stderr |
      | rules show --settings missing.yaml         | 2    | can't be read      | stderr |
      | rules show --settings SETTINGS             | 5    | could not be reached | stderr |
      | rules history 3-a --settings SETTINGS      | 4    | try again later    | stderr |
      | status --settings SETTINGS                 | 5    | could not be reached | stderr |
      | explain cs-7b --settings SETTINGS          | 5    | could not be reached | stderr |
      | drain e1 --settings SETTINGS --json        | 5    | "exit_code": 5     | stdout |
      | frobnicate                                 | 2    | frobnicate         | stderr |
