bt_program(share_bench SOURCES share_bench.c DEPENDS dispatch)
