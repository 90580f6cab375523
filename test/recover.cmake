bt_test(recover_test SOURCES recover_test.c cluster.c proc.c checker.c
    httppool.c DEPENDS base)
add_dependencies(recover_test fakeworker faultproxy bulrushtided)
