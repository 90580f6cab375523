bt_test(call_test SOURCES call_test.c cluster.c proc.c checker.c httppool.c
    DEPENDS base)
add_dependencies(call_test fakeworker faultproxy bulrushtided)
