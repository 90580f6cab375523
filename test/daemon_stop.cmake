bt_cases(daemon-stop SOURCES daemon_stop_test.c cluster.c proc.c checker.c
    httppool.c tcp.c
    DEPENDS base CASES requests-cut call-cut signal-at-start signal-at-exit)
add_dependencies(daemon-stop_test fakeworker faultproxy bulrushtided)
