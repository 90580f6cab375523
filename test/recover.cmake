bt_cases(recover SOURCES recover_test.c cluster.c proc.c checker.c httppool.c
    DEPENDS base CASES lost-disk operators-race no-second-cell shorter-lease
    many-changes rolling-restart)
add_dependencies(recover_test fakeworker faultproxy bulrushtided)
