bt_cases(dispatch
    SOURCES dispatch_test.c dispatch_crash.c dispatch_capacity.c
    dispatch_organisations.c     stubleader.c stubworker.c proc.c
    DEPENDS dispatch httpd
    CASES lease-expiry lost-order refused-after-lost-order
    ends-acked-after-commit leadership-unconfirmed suspended-leader takeover
    takeover-before-order takeover-after-cancel unassigned-run cancel
    capacity gang-refused failing-worker count-not-started preemption
    preemption-turns gang-queried-without-room service-failed
    service-worker-lost service-awaits-short-tasks service-takeover
    earlier-incarnation state-delayed deadly-task deadly-task-late
    deadly-task-long-outage deadly-task-takeover deadly-gang deadly-gangs
    deadly-crowd unreachable-worker silent-worker-no-crash
    capacity-shrinks-before-order capacity-shrinks-before-resend
    capacity-shrinks-takeover capacity-late-heartbeat
    capacity-shrinks-below-use best-effort-cores restart-before-order
    restart-under-order cap-over-workers cap-takeover cap-lowered
    cap-lowered-before-order cap-silent-worker cap-gang-turn cap-gang-beside-service
    cap-gang-permit cap-no-preemption cap-never-fits cap-other-organisations share-order share-preemption
    share-surplus share-kept refused-over-weight not-refused-with-room organisation-metrics)
