Feature: a response is whole only where its framing says that it ends

  # Guards against a response that breaks off in its head or body, and counts as whole with a part of its body.
  Scenario Outline: a response with <framing> is whole with its last byte, however it comes in pieces
    Then both connections take a response with "<framing>" for whole only with its last byte

    Examples:
      | framing                           |
      | a length                          |
      | a length, and spaces after it     |
      | a length, early hints before it   |
      | a length of early hints before it |
      | a length, with HTTP/1.0           |
      | a length, and a close             |
      | a length, and an offered protocol |
      | chunks                            |
      | chunks, and spaces after the name |
      | chunks in capitals                |
      | chunks after identity             |
      | chunks after identity, one header |
      | chunks, and trailers              |
      | chunks with extensions            |
      | no content                        |
      | no content, and a length          |
      | nothing modified, and a length    |

  Scenario Outline: a response with <framing> is whole from its head on, as its connection ends it
    Then both connections take a response with "<framing>" for whole from its head on

    Examples:
      | framing                            |
      | neither                            |
      | neither, early hints before it     |
      | identity                           |
      | neither, with HTTP/1.0             |

  # Guards against a guess at a body's end where the head tells none, or two.
  Scenario Outline: a response with <framing> is never whole
    Then both connections take a response with "<framing>" for whole never

    Examples:
      | framing                             |
      | two lengths                         |
      | one length twice                    |
      | a list of lengths                   |
      | an empty length                     |
      | a negative length                   |
      | a length with a sign                |
      | a length cut by a space             |
      | a name of a length alone            |
      | a length after a space              |
      | a length and chunks                 |
      | chunks and a length                 |
      | a length and identity               |
      | an empty coding                     |
      | chunks, and a tab after the name    |
      | a coding's name cut short           |
      | a coding nobody asked for           |
      | chunks of a coding nobody asked for |
      | chunks before identity              |
      | chunks with a parameter             |
      | a chunk with a size cut short       |
      | a chunk without a size              |
      | lines ended by LF                   |
      | lines ended by CR                   |
      | a status of two digits              |
      | no status                           |
      | another protocol from now on        |
