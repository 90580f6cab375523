bt_program(cell_bench SOURCES cell_bench.c DEPENDS cell)
