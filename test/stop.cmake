bt_test(stop_test SOURCES stop_test.c DEPENDS stop)
