bt_test(base_test SOURCES base_test.c DEPENDS base)
