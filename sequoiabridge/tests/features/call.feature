Feature: Every fault at every step of a call
  Written by tests/matrix/features.py from the rows and columns of the fault matrix.

  Scenario Outline: call: <fault> at <step>
    Given daemons, upstreams and the platform's store
    When "<fault>" strikes at the step "<step>"
    Then every promise holds

    Examples:
      | fault | step |
      | upstream straggles | connect |
      | upstream straggles | read head |
      | upstream straggles | admit |
      | upstream straggles | match rule |
      | upstream straggles | claim |
      | upstream straggles | choose |
      | upstream straggles | open connection |
      | upstream straggles | send head |
      | upstream straggles | send body |
      | upstream straggles | wait |
      | upstream straggles | relay answer |
      | upstream straggles | record outcome |
      | upstream straggles | reply |
      | upstream starts draining | connect |
      | upstream starts draining | read head |
      | upstream starts draining | admit |
      | upstream starts draining | match rule |
      | upstream starts draining | claim |
      | upstream starts draining | choose |
      | upstream starts draining | open connection |
      | upstream starts draining | send head |
      | upstream starts draining | send body |
      | upstream starts draining | wait |
      | upstream starts draining | relay answer |
      | upstream starts draining | record outcome |
      | upstream starts draining | reply |
      | upstream fails fast | connect |
      | upstream fails fast | read head |
      | upstream fails fast | admit |
      | upstream fails fast | match rule |
      | upstream fails fast | claim |
      | upstream fails fast | choose |
      | upstream fails fast | open connection |
      | upstream fails fast | send head |
      | upstream fails fast | send body |
      | upstream fails fast | wait |
      | upstream fails fast | relay answer |
      | upstream fails fast | record outcome |
      | upstream fails fast | reply |
      | upstream starts cold | connect |
      | upstream starts cold | read head |
      | upstream starts cold | admit |
      | upstream starts cold | match rule |
      | upstream starts cold | claim |
      | upstream starts cold | choose |
      | upstream starts cold | open connection |
      | upstream starts cold | send head |
      | upstream starts cold | send body |
      | upstream starts cold | wait |
      | upstream starts cold | relay answer |
      | upstream starts cold | record outcome |
      | upstream starts cold | reply |
      | upstream sheds | connect |
      | upstream sheds | read head |
      | upstream sheds | admit |
      | upstream sheds | match rule |
      | upstream sheds | claim |
      | upstream sheds | choose |
      | upstream sheds | open connection |
      | upstream sheds | send head |
      | upstream sheds | send body |
      | upstream sheds | wait |
      | upstream sheds | relay answer |
      | upstream sheds | record outcome |
      | upstream sheds | reply |
      | all upstreams shed | connect |
      | all upstreams shed | read head |
      | all upstreams shed | admit |
      | all upstreams shed | match rule |
      | all upstreams shed | claim |
      | all upstreams shed | choose |
      | all upstreams shed | open connection |
      | all upstreams shed | send head |
      | all upstreams shed | send body |
      | all upstreams shed | wait |
      | all upstreams shed | relay answer |
      | all upstreams shed | record outcome |
      | all upstreams shed | reply |
      | upstream lies about load | connect |
      | upstream lies about load | read head |
      | upstream lies about load | admit |
      | upstream lies about load | match rule |
      | upstream lies about load | claim |
      | upstream lies about load | choose |
      | upstream lies about load | open connection |
      | upstream lies about load | send head |
      | upstream lies about load | send body |
      | upstream lies about load | wait |
      | upstream lies about load | relay answer |
      | upstream lies about load | record outcome |
      | upstream lies about load | reply |
      | upstream reports late | connect |
      | upstream reports late | read head |
      | upstream reports late | admit |
      | upstream reports late | match rule |
      | upstream reports late | claim |
      | upstream reports late | choose |
      | upstream reports late | open connection |
      | upstream reports late | send head |
      | upstream reports late | send body |
      | upstream reports late | wait |
      | upstream reports late | relay answer |
      | upstream reports late | record outcome |
      | upstream reports late | reply |
      | request crashes each upstream | send head |
      | request crashes each upstream | send body |
      | request crashes each upstream | wait |
      | request crashes each upstream | relay answer |
      | two upstreams die of something else | connect |
      | two upstreams die of something else | read head |
      | two upstreams die of something else | admit |
      | two upstreams die of something else | match rule |
      | two upstreams die of something else | claim |
      | two upstreams die of something else | choose |
      | two upstreams die of something else | open connection |
      | two upstreams die of something else | send head |
      | two upstreams die of something else | send body |
      | two upstreams die of something else | wait |
      | two upstreams die of something else | relay answer |
      | two upstreams die of something else | record outcome |
      | two upstreams die of something else | reply |
      | answers come late | connect |
      | answers come late | read head |
      | answers come late | admit |
      | answers come late | match rule |
      | answers come late | claim |
      | answers come late | choose |
      | answers come late | open connection |
      | answers come late | send head |
      | answers come late | send body |
      | answers come late | wait |
      | answers come late | relay answer |
      | answers come late | record outcome |
      | answers come late | reply |
      | answer cut short | connect |
      | answer cut short | read head |
      | answer cut short | admit |
      | answer cut short | match rule |
      | answer cut short | claim |
      | answer cut short | choose |
      | answer cut short | open connection |
      | answer cut short | send head |
      | answer cut short | send body |
      | answer cut short | wait |
      | answer cut short | relay answer |
      | answer cut short | record outcome |
      | answer cut short | reply |
      | answer hangs half-way | connect |
      | answer hangs half-way | read head |
      | answer hangs half-way | admit |
      | answer hangs half-way | match rule |
      | answer hangs half-way | claim |
      | answer hangs half-way | choose |
      | answer hangs half-way | open connection |
      | answer hangs half-way | send head |
      | answer hangs half-way | send body |
      | answer hangs half-way | wait |
      | answer hangs half-way | relay answer |
      | answer hangs half-way | record outcome |
      | answer hangs half-way | reply |
      | answer never ends | connect |
      | answer never ends | read head |
      | answer never ends | admit |
      | answer never ends | match rule |
      | answer never ends | claim |
      | answer never ends | choose |
      | answer never ends | open connection |
      | answer never ends | send head |
      | answer never ends | send body |
      | answer never ends | wait |
      | answer never ends | relay answer |
      | answer never ends | record outcome |
      | answer never ends | reply |
      | answer lost | connect |
      | answer lost | read head |
      | answer lost | admit |
      | answer lost | match rule |
      | answer lost | claim |
      | answer lost | choose |
      | answer lost | open connection |
      | answer lost | send head |
      | answer lost | send body |
      | answer lost | wait |
      | answer lost | relay answer |
      | answer lost | record outcome |
      | answer lost | reply |
      | all upstreams lose answers | connect |
      | all upstreams lose answers | read head |
      | all upstreams lose answers | admit |
      | all upstreams lose answers | match rule |
      | all upstreams lose answers | claim |
      | all upstreams lose answers | choose |
      | all upstreams lose answers | open connection |
      | all upstreams lose answers | send head |
      | all upstreams lose answers | send body |
      | all upstreams lose answers | wait |
      | all upstreams lose answers | relay answer |
      | all upstreams lose answers | record outcome |
      | all upstreams lose answers | reply |
      | open connections go silent | connect |
      | open connections go silent | read head |
      | open connections go silent | admit |
      | open connections go silent | match rule |
      | open connections go silent | claim |
      | open connections go silent | choose |
      | open connections go silent | open connection |
      | open connections go silent | send head |
      | open connections go silent | send body |
      | open connections go silent | wait |
      | open connections go silent | relay answer |
      | open connections go silent | record outcome |
      | open connections go silent | reply |
      | store down | connect |
      | store down | read head |
      | store down | admit |
      | store down | match rule |
      | store down | claim |
      | store down | choose |
      | store down | open connection |
      | store down | send head |
      | store down | send body |
      | store down | wait |
      | store down | relay answer |
      | store down | record outcome |
      | store down | reply |
      | store slow for long | connect |
      | store slow for long | read head |
      | store slow for long | admit |
      | store slow for long | match rule |
      | store slow for long | claim |
      | store slow for long | choose |
      | store slow for long | open connection |
      | store slow for long | send head |
      | store slow for long | send body |
      | store slow for long | wait |
      | store slow for long | relay answer |
      | store slow for long | record outcome |
      | store slow for long | reply |
      | write took effect, answer lost | claim |
      | write took effect, answer lost | record outcome |
      | write lost | claim |
      | write lost | record outcome |
      | write takes effect late | claim |
      | write takes effect late | record outcome |
      | lease lapses, holder paused | connect |
      | lease lapses, holder paused | read head |
      | lease lapses, holder paused | admit |
      | lease lapses, holder paused | match rule |
      | lease lapses, holder paused | claim |
      | lease lapses, holder paused | choose |
      | lease lapses, holder paused | open connection |
      | lease lapses, holder paused | send head |
      | lease lapses, holder paused | send body |
      | lease lapses, holder paused | wait |
      | lease lapses, holder paused | relay answer |
      | lease lapses, holder paused | record outcome |
      | lease lapses, holder paused | reply |
      | two operators at once | connect |
      | two operators at once | read head |
      | two operators at once | admit |
      | two operators at once | match rule |
      | two operators at once | claim |
      | two operators at once | choose |
      | two operators at once | open connection |
      | two operators at once | send head |
      | two operators at once | send body |
      | two operators at once | wait |
      | two operators at once | relay answer |
      | two operators at once | record outcome |
      | two operators at once | reply |
      | VM killed | connect |
      | VM killed | read head |
      | VM killed | admit |
      | VM killed | match rule |
      | VM killed | claim |
      | VM killed | choose |
      | VM killed | open connection |
      | VM killed | send head |
      | VM killed | send body |
      | VM killed | wait |
      | VM killed | relay answer |
      | VM killed | record outcome |
      | VM killed | reply |
      | VM paused and resumed | connect |
      | VM paused and resumed | read head |
      | VM paused and resumed | admit |
      | VM paused and resumed | match rule |
      | VM paused and resumed | claim |
      | VM paused and resumed | choose |
      | VM paused and resumed | open connection |
      | VM paused and resumed | send head |
      | VM paused and resumed | send body |
      | VM paused and resumed | wait |
      | VM paused and resumed | relay answer |
      | VM paused and resumed | record outcome |
      | VM paused and resumed | reply |
      | VM replaced | connect |
      | VM replaced | read head |
      | VM replaced | admit |
      | VM replaced | match rule |
      | VM replaced | claim |
      | VM replaced | choose |
      | VM replaced | open connection |
      | VM replaced | send head |
      | VM replaced | send body |
      | VM replaced | wait |
      | VM replaced | relay answer |
      | VM replaced | record outcome |
      | VM replaced | reply |
      | planned stop | connect |
      | planned stop | read head |
      | planned stop | admit |
      | planned stop | match rule |
      | planned stop | claim |
      | planned stop | choose |
      | planned stop | open connection |
      | planned stop | send head |
      | planned stop | send body |
      | planned stop | wait |
      | planned stop | relay answer |
      | planned stop | record outcome |
      | planned stop | reply |
      | VM list lags | connect |
      | VM list lags | read head |
      | VM list lags | admit |
      | VM list lags | match rule |
      | VM list lags | claim |
      | VM list lags | choose |
      | VM list lags | open connection |
      | VM list lags | send head |
      | VM list lags | send body |
      | VM list lags | wait |
      | VM list lags | relay answer |
      | VM list lags | record outcome |
      | VM list lags | reply |
      | VM list wrong | connect |
      | VM list wrong | read head |
      | VM list wrong | admit |
      | VM list wrong | match rule |
      | VM list wrong | claim |
      | VM list wrong | choose |
      | VM list wrong | open connection |
      | VM list wrong | send head |
      | VM list wrong | send body |
      | VM list wrong | wait |
      | VM list wrong | relay answer |
      | VM list wrong | record outcome |
      | VM list wrong | reply |
      | peers partitioned | connect |
      | peers partitioned | read head |
      | peers partitioned | admit |
      | peers partitioned | match rule |
      | peers partitioned | claim |
      | peers partitioned | choose |
      | peers partitioned | open connection |
      | peers partitioned | send head |
      | peers partitioned | send body |
      | peers partitioned | wait |
      | peers partitioned | relay answer |
      | peers partitioned | record outcome |
      | peers partitioned | reply |
      | one-way partition | connect |
      | one-way partition | read head |
      | one-way partition | admit |
      | one-way partition | match rule |
      | one-way partition | claim |
      | one-way partition | choose |
      | one-way partition | open connection |
      | one-way partition | send head |
      | one-way partition | send body |
      | one-way partition | wait |
      | one-way partition | relay answer |
      | one-way partition | record outcome |
      | one-way partition | reply |
      | another VM cut off from all | connect |
      | another VM cut off from all | read head |
      | another VM cut off from all | admit |
      | another VM cut off from all | match rule |
      | another VM cut off from all | claim |
      | another VM cut off from all | choose |
      | another VM cut off from all | open connection |
      | another VM cut off from all | send head |
      | another VM cut off from all | send body |
      | another VM cut off from all | wait |
      | another VM cut off from all | relay answer |
      | another VM cut off from all | record outcome |
      | another VM cut off from all | reply |
      | caller gone | connect |
      | caller gone | read head |
      | caller gone | admit |
      | caller gone | match rule |
      | caller gone | claim |
      | caller gone | choose |
      | caller gone | open connection |
      | caller gone | send head |
      | caller gone | send body |
      | caller gone | wait |
      | caller gone | relay answer |
      | caller gone | record outcome |
      | caller gone | reply |
      | caller resends | connect |
      | caller resends | read head |
      | caller resends | admit |
      | caller resends | match rule |
      | caller resends | claim |
      | caller resends | choose |
      | caller resends | open connection |
      | caller resends | send head |
      | caller resends | send body |
      | caller resends | wait |
      | caller resends | relay answer |
      | caller resends | record outcome |
      | caller resends | reply |
      | slow caller | connect |
      | slow caller | read head |
      | slow caller | admit |
      | slow caller | match rule |
      | slow caller | claim |
      | slow caller | choose |
      | slow caller | open connection |
      | slow caller | send head |
      | slow caller | send body |
      | slow caller | wait |
      | slow caller | relay answer |
      | slow caller | record outcome |
      | slow caller | reply |
