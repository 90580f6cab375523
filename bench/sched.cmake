bt_program(sched_bench SOURCES sched_bench.c sched_load.c sched_replay.c
    DEPENDS sched)
