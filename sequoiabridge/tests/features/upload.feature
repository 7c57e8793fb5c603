Feature: Every fault at every step of a upload
  Written by tests/matrix/features.py from the rows and columns of the fault matrix.

  Scenario Outline: upload: <fault> at <step>
    Given daemons, upstreams and the platform's store
    When "<fault>" strikes at the step "<step>"
    Then every promise holds

    Examples:
      | fault | step |
      | upstream straggles | chunk |
      | upstream straggles | commit |
      | upstream straggles | deliver |
      | upstream straggles | resume |
      | upstream straggles | clean up |
      | upstream starts draining | chunk |
      | upstream starts draining | commit |
      | upstream starts draining | deliver |
      | upstream starts draining | resume |
      | upstream starts draining | clean up |
      | upstream fails fast | chunk |
      | upstream fails fast | commit |
      | upstream fails fast | deliver |
      | upstream fails fast | resume |
      | upstream fails fast | clean up |
      | upstream starts cold | chunk |
      | upstream starts cold | commit |
      | upstream starts cold | deliver |
      | upstream starts cold | resume |
      | upstream starts cold | clean up |
      | upstream sheds | chunk |
      | upstream sheds | commit |
      | upstream sheds | deliver |
      | upstream sheds | resume |
      | upstream sheds | clean up |
      | all upstreams shed | chunk |
      | all upstreams shed | commit |
      | all upstreams shed | deliver |
      | all upstreams shed | resume |
      | all upstreams shed | clean up |
      | upstream lies about load | chunk |
      | upstream lies about load | commit |
      | upstream lies about load | deliver |
      | upstream lies about load | resume |
      | upstream lies about load | clean up |
      | upstream reports late | chunk |
      | upstream reports late | commit |
      | upstream reports late | deliver |
      | upstream reports late | resume |
      | upstream reports late | clean up |
      | request crashes each upstream | deliver |
      | two upstreams die of something else | chunk |
      | two upstreams die of something else | commit |
      | two upstreams die of something else | deliver |
      | two upstreams die of something else | resume |
      | two upstreams die of something else | clean up |
      | answers come late | chunk |
      | answers come late | commit |
      | answers come late | deliver |
      | answers come late | resume |
      | answers come late | clean up |
      | answer cut short | chunk |
      | answer cut short | commit |
      | answer cut short | deliver |
      | answer cut short | resume |
      | answer cut short | clean up |
      | answer hangs half-way | chunk |
      | answer hangs half-way | commit |
      | answer hangs half-way | deliver |
      | answer hangs half-way | resume |
      | answer hangs half-way | clean up |
      | answer never ends | chunk |
      | answer never ends | commit |
      | answer never ends | deliver |
      | answer never ends | resume |
      | answer never ends | clean up |
      | answer lost | chunk |
      | answer lost | commit |
      | answer lost | deliver |
      | answer lost | resume |
      | answer lost | clean up |
      | all upstreams lose answers | chunk |
      | all upstreams lose answers | commit |
      | all upstreams lose answers | deliver |
      | all upstreams lose answers | resume |
      | all upstreams lose answers | clean up |
      | open connections go silent | chunk |
      | open connections go silent | commit |
      | open connections go silent | deliver |
      | open connections go silent | resume |
      | open connections go silent | clean up |
      | store down | chunk |
      | store down | commit |
      | store down | deliver |
      | store down | resume |
      | store down | clean up |
      | store slow for long | chunk |
      | store slow for long | commit |
      | store slow for long | deliver |
      | store slow for long | resume |
      | store slow for long | clean up |
      | write took effect, answer lost | chunk |
      | write took effect, answer lost | commit |
      | write lost | chunk |
      | write lost | commit |
      | write takes effect late | chunk |
      | write takes effect late | commit |
      | lease lapses, holder paused | chunk |
      | lease lapses, holder paused | commit |
      | lease lapses, holder paused | deliver |
      | lease lapses, holder paused | resume |
      | lease lapses, holder paused | clean up |
      | two operators at once | chunk |
      | two operators at once | commit |
      | two operators at once | deliver |
      | two operators at once | resume |
      | two operators at once | clean up |
      | VM killed | chunk |
      | VM killed | commit |
      | VM killed | deliver |
      | VM killed | resume |
      | VM killed | clean up |
      | VM paused and resumed | chunk |
      | VM paused and resumed | commit |
      | VM paused and resumed | deliver |
      | VM paused and resumed | resume |
      | VM paused and resumed | clean up |
      | VM replaced | chunk |
      | VM replaced | commit |
      | VM replaced | deliver |
      | VM replaced | resume |
      | VM replaced | clean up |
      | planned stop | chunk |
      | planned stop | commit |
      | planned stop | deliver |
      | planned stop | resume |
      | planned stop | clean up |
      | VM list lags | chunk |
      | VM list lags | commit |
      | VM list lags | deliver |
      | VM list lags | resume |
      | VM list lags | clean up |
      | VM list wrong | chunk |
      | VM list wrong | commit |
      | VM list wrong | deliver |
      | VM list wrong | resume |
      | VM list wrong | clean up |
      | peers partitioned | chunk |
      | peers partitioned | commit |
      | peers partitioned | deliver |
      | peers partitioned | resume |
      | peers partitioned | clean up |
      | one-way partition | chunk |
      | one-way partition | commit |
      | one-way partition | deliver |
      | one-way partition | resume |
      | one-way partition | clean up |
      | another VM cut off from all | chunk |
      | another VM cut off from all | commit |
      | another VM cut off from all | deliver |
      | another VM cut off from all | resume |
      | another VM cut off from all | clean up |
      | caller gone | chunk |
      | caller gone | commit |
      | caller gone | resume |
      | caller resends | chunk |
      | caller resends | commit |
      | caller resends | resume |
      | slow caller | chunk |
      | slow caller | commit |
      | slow caller | resume |
