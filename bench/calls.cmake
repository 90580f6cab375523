bt_program(calls_bench SOURCES calls_bench.c DEPENDS calls)
