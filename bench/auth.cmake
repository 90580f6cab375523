bt_program(auth_bench SOURCES auth_bench.c DEPENDS auth)
