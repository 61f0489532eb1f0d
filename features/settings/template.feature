Feature: Settings rendered from the template of the deploy file
  A field that the platform does not state is an empty text; plain numbers and left-out fields, the form before, are read too.

  # Guards against a template that only the platform's renderer can fill in: others know no sections.
  Scenario Outline: Fields of the machine and of closings are <stated>
    Given a settings file that is rendered <stated>
    Then its closing time is <closingMs> and its machine is <machine>

    Examples:
      | stated              | closingMs | machine                                                             |
      | with these fields   | 5000      | {"cores":0.324,"memoryMb":250,"descriptors":4100,"linkMbps":17.5}   |
      | without these fields | absent    | absent                                                              |

  Scenario Outline: A file in the form <form>
    Given a settings file that is rendered without these fields, in which <field> is <text>
    Then its closing time is <closingMs> and its machine is <machine>

    Examples:
      | form             | field     | text                                                               | closingMs | machine                                                           |
      | of numbers       | machine   | {"cores":0.5,"memoryMb":218,"descriptors":4096,"linkMbps":1000}    | absent    | {"cores":0.5,"memoryMb":218,"descriptors":4096,"linkMbps":1000}   |
      | without machine  | machine   | absent                                                             | absent    | absent                                                            |
      | of numbers       | closingMs | 4000                                                               | 4000      | absent                                                            |
      | without closings | closingMs | absent                                                             | absent    | absent                                                            |

  Scenario Outline: A text that is no number is refused
    Given a settings file that is rendered without these fields, in which <field> is <text>
    Then the rendered file is refused with "<path>"

    Examples:
      | field     | text                                                          | path               |
      | closingMs | "soon"                                                        | $.bounds.closingMs |
      | closingMs | " "                                                           | $.bounds.closingMs |
      | machine   | {"cores":"","memoryMb":"218","descriptors":"4096","linkMbps":""} | $.machine.cores    |
