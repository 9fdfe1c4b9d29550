Feature: Upstreams are taken back while plans are being written

  Scenario: An engine is reclaimed during plans and its link carries all of them
    Given 3 entry nodes and 4 engines whose links carry 40 tokens a millisecond
    And 16 plans are being written from prompts of 2000 tokens
    When the engine with most plans is taken back with a notice of 3 seconds
    Then every plan arrives whole, is its own, and has every offset once
    And no token was computed again

  Scenario: The link is too slow for all of them
    Given 3 entry nodes and 4 engines whose links carry 2 tokens a millisecond
    And 24 plans are being written from prompts of 2000 tokens
    When the engine with most plans is taken back with a notice of 3 seconds
    Then every plan arrives whole, is its own, and has every offset once
    And some plans moved with their cache and the rest was computed again
    And the tokens computed again are counted as the engines counted them

  Scenario: A whole failure domain is reclaimed
    Given 3 entry nodes and 6 engines whose links carry 40 tokens a millisecond
    And 24 plans are being written from prompts of 2000 tokens
    When a failure domain's engines are taken back with a notice of 3 seconds
    Then every plan arrives whole, is its own, and has every offset once
    And no plan moved to an engine of that failure domain

  Scenario: A whole failure domain is reclaimed, entry node and engines together
    Given 3 entry nodes and 6 engines whose links carry 40 tokens a millisecond
    And 24 plans are being written from prompts of 2000 tokens
    When a failure domain with all that runs there is taken back with a notice of 5 seconds
    Then every plan arrives whole, is its own, and has every offset once
    And no plan moved to an engine of that failure domain

  Scenario: The instance list lags behind the notice
    Given 8 entry nodes and 3 engines whose links carry 40 tokens a millisecond
    And the instance list shows nothing new
    When one engine is taken back with a notice of 10 seconds
    Then after 2 seconds no node sends it anything new

  Scenario: The target of an export dies midway
    Given 3 entry nodes and 4 engines whose links carry 2 tokens a millisecond
    And 12 plans are being written from prompts of 2000 tokens
    And the target of the first export dies before the export has ended
    When the engine with most plans is taken back with a notice of 4 seconds
    Then every plan arrives whole, is its own, and has every offset once
