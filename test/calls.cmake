bt_test(calls_test SOURCES calls_test.c DEPENDS calls)
