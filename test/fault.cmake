bt_test(fault_test SOURCES fault_test.c cluster.c proc.c checker.c httppool.c
    DEPENDS base)
add_dependencies(fault_test fakeworker faultproxy bulrushtided)
