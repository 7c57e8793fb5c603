Feature: Every fault at every step of a configuration
  Written by tests/matrix/features.py from the rows and columns of the fault matrix.

  Scenario Outline: configuration: <fault> at <step>
    Given daemons, upstreams and the platform's store
    When "<fault>" strikes at the step "<step>"
    Then every promise holds

    Examples:
      | fault | step |
      | upstream straggles | proposed |
      | upstream straggles | committed |
      | upstream straggles | spread |
      | upstream straggles | applied |
      | upstream straggles | new VM joins |
      | upstream starts draining | proposed |
      | upstream starts draining | committed |
      | upstream starts draining | spread |
      | upstream starts draining | applied |
      | upstream starts draining | new VM joins |
      | upstream fails fast | proposed |
      | upstream fails fast | committed |
      | upstream fails fast | spread |
      | upstream fails fast | applied |
      | upstream fails fast | new VM joins |
      | upstream starts cold | proposed |
      | upstream starts cold | committed |
      | upstream starts cold | spread |
      | upstream starts cold | applied |
      | upstream starts cold | new VM joins |
      | upstream sheds | proposed |
      | upstream sheds | committed |
      | upstream sheds | spread |
      | upstream sheds | applied |
      | upstream sheds | new VM joins |
      | all upstreams shed | proposed |
      | all upstreams shed | committed |
      | all upstreams shed | spread |
      | all upstreams shed | applied |
      | all upstreams shed | new VM joins |
      | upstream lies about load | proposed |
      | upstream lies about load | committed |
      | upstream lies about load | spread |
      | upstream lies about load | applied |
      | upstream lies about load | new VM joins |
      | upstream reports late | proposed |
      | upstream reports late | committed |
      | upstream reports late | spread |
      | upstream reports late | applied |
      | upstream reports late | new VM joins |
      | two upstreams die of something else | proposed |
      | two upstreams die of something else | committed |
      | two upstreams die of something else | spread |
      | two upstreams die of something else | applied |
      | two upstreams die of something else | new VM joins |
      | answers come late | proposed |
      | answers come late | committed |
      | answers come late | spread |
      | answers come late | applied |
      | answers come late | new VM joins |
      | answer cut short | proposed |
      | answer cut short | committed |
      | answer cut short | spread |
      | answer cut short | applied |
      | answer cut short | new VM joins |
      | answer hangs half-way | proposed |
      | answer hangs half-way | committed |
      | answer hangs half-way | spread |
      | answer hangs half-way | applied |
      | answer hangs half-way | new VM joins |
      | answer never ends | proposed |
      | answer never ends | committed |
      | answer never ends | spread |
      | answer never ends | applied |
      | answer never ends | new VM joins |
      | answer lost | proposed |
      | answer lost | committed |
      | answer lost | spread |
      | answer lost | applied |
      | answer lost | new VM joins |
      | all upstreams lose answers | proposed |
      | all upstreams lose answers | committed |
      | all upstreams lose answers | spread |
      | all upstreams lose answers | applied |
      | all upstreams lose answers | new VM joins |
      | open connections go silent | proposed |
      | open connections go silent | committed |
      | open connections go silent | spread |
      | open connections go silent | applied |
      | open connections go silent | new VM joins |
      | store down | proposed |
      | store down | committed |
      | store down | spread |
      | store down | applied |
      | store down | new VM joins |
      | store slow for long | proposed |
      | store slow for long | committed |
      | store slow for long | spread |
      | store slow for long | applied |
      | store slow for long | new VM joins |
      | write took effect, answer lost | proposed |
      | write lost | proposed |
      | write takes effect late | proposed |
      | lease lapses, holder paused | proposed |
      | lease lapses, holder paused | committed |
      | lease lapses, holder paused | spread |
      | lease lapses, holder paused | applied |
      | lease lapses, holder paused | new VM joins |
      | two operators at once | proposed |
      | two operators at once | committed |
      | two operators at once | spread |
      | two operators at once | applied |
      | two operators at once | new VM joins |
      | VM killed | proposed |
      | VM killed | committed |
      | VM killed | spread |
      | VM killed | applied |
      | VM killed | new VM joins |
      | VM paused and resumed | proposed |
      | VM paused and resumed | committed |
      | VM paused and resumed | spread |
      | VM paused and resumed | applied |
      | VM paused and resumed | new VM joins |
      | VM replaced | proposed |
      | VM replaced | committed |
      | VM replaced | spread |
      | VM replaced | applied |
      | VM replaced | new VM joins |
      | planned stop | proposed |
      | planned stop | committed |
      | planned stop | spread |
      | planned stop | applied |
      | planned stop | new VM joins |
      | VM list lags | proposed |
      | VM list lags | committed |
      | VM list lags | spread |
      | VM list lags | applied |
      | VM list lags | new VM joins |
      | VM list wrong | proposed |
      | VM list wrong | committed |
      | VM list wrong | spread |
      | VM list wrong | applied |
      | VM list wrong | new VM joins |
      | peers partitioned | proposed |
      | peers partitioned | committed |
      | peers partitioned | spread |
      | peers partitioned | applied |
      | peers partitioned | new VM joins |
      | one-way partition | proposed |
      | one-way partition | committed |
      | one-way partition | spread |
      | one-way partition | applied |
      | one-way partition | new VM joins |
      | another VM cut off from all | proposed |
      | another VM cut off from all | committed |
      | another VM cut off from all | spread |
      | another VM cut off from all | applied |
      | another VM cut off from all | new VM joins |
