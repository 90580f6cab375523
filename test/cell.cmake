bt_test(cell_test SOURCES cell_test.c cell_random.c DEPENDS cell)
