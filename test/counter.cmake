bt_test(counter_test SOURCES counter_test.c DEPENDS counter)
