bt_test(sched_test SOURCES sched_test.c DEPENDS sched)
