Feature: Every fault at every step of a stop
  Written by tests/matrix/features.py from the rows and columns of the fault matrix.

  Scenario Outline: stop: <fault> at <step>
    Given daemons, upstreams and the platform's store
    When "<fault>" strikes at the step "<step>"
    Then every promise holds

    Examples:
      | fault | step |
      | upstream straggles | drain begins |
      | upstream straggles | last request ends |
      | upstream straggles | leave |
      | upstream starts draining | drain begins |
      | upstream starts draining | last request ends |
      | upstream starts draining | leave |
      | upstream fails fast | drain begins |
      | upstream fails fast | last request ends |
      | upstream fails fast | leave |
      | upstream starts cold | drain begins |
      | upstream starts cold | last request ends |
      | upstream starts cold | leave |
      | upstream sheds | drain begins |
      | upstream sheds | last request ends |
      | upstream sheds | leave |
      | all upstreams shed | drain begins |
      | all upstreams shed | last request ends |
      | all upstreams shed | leave |
      | upstream lies about load | drain begins |
      | upstream lies about load | last request ends |
      | upstream lies about load | leave |
      | upstream reports late | drain begins |
      | upstream reports late | last request ends |
      | upstream reports late | leave |
      | two upstreams die of something else | drain begins |
      | two upstreams die of something else | last request ends |
      | two upstreams die of something else | leave |
      | answers come late | drain begins |
      | answers come late | last request ends |
      | answers come late | leave |
      | answer cut short | drain begins |
      | answer cut short | last request ends |
      | answer cut short | leave |
      | answer hangs half-way | drain begins |
      | answer hangs half-way | last request ends |
      | answer hangs half-way | leave |
      | answer never ends | drain begins |
      | answer never ends | last request ends |
      | answer never ends | leave |
      | answer lost | drain begins |
      | answer lost | last request ends |
      | answer lost | leave |
      | all upstreams lose answers | drain begins |
      | all upstreams lose answers | last request ends |
      | all upstreams lose answers | leave |
      | open connections go silent | drain begins |
      | open connections go silent | last request ends |
      | open connections go silent | leave |
      | store down | drain begins |
      | store down | last request ends |
      | store down | leave |
      | store slow for long | drain begins |
      | store slow for long | last request ends |
      | store slow for long | leave |
      | lease lapses, holder paused | drain begins |
      | lease lapses, holder paused | last request ends |
      | lease lapses, holder paused | leave |
      | two operators at once | drain begins |
      | two operators at once | last request ends |
      | two operators at once | leave |
      | VM killed | drain begins |
      | VM killed | last request ends |
      | VM killed | leave |
      | VM paused and resumed | drain begins |
      | VM paused and resumed | last request ends |
      | VM paused and resumed | leave |
      | VM replaced | drain begins |
      | VM replaced | last request ends |
      | VM replaced | leave |
      | VM list lags | drain begins |
      | VM list lags | last request ends |
      | VM list lags | leave |
      | VM list wrong | drain begins |
      | VM list wrong | last request ends |
      | VM list wrong | leave |
      | peers partitioned | drain begins |
      | peers partitioned | last request ends |
      | peers partitioned | leave |
      | one-way partition | drain begins |
      | one-way partition | last request ends |
      | one-way partition | leave |
      | another VM cut off from all | drain begins |
      | another VM cut off from all | last request ends |
      | another VM cut off from all | leave |
      | caller gone | drain begins |
      | caller gone | last request ends |
      | caller resends | drain begins |
      | caller resends | last request ends |
      | slow caller | drain begins |
      | slow caller | last request ends |
