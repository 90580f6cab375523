bt_program(admit_bench SOURCES admit_bench.c DEPENDS admit plan)
