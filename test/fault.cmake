bt_cases(fault SOURCES fault_test.c cluster.c proc.c checker.c httppool.c
    DEPENDS base CASES none leader-killed leader-paused
    entry-paused entry-killed worker-killed
    worker-paused entry-cut planned-stops leader-cut all-replicas-killed
    leader-and-worker-killed orders-held order-past-stop late-announcement
    answer-lost calls)
add_dependencies(fault_test fakeworker faultproxy bulrushtided)
