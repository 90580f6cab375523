bt_test(trace_test SOURCES trace_test.c DEPENDS trace)
