bt_cases(dispatch
    SOURCES dispatch_test.c dispatch_crash.c dispatch_capacity.c dispatch_drain.c
    dispatch_explain.c dispatch_keys.c dispatch_organisations.c
    dispatch_overload.c dispatch_policy.c dispatch_reports.c dispatch_restart.c dispatch_retries.c stubleader.c
    stubworker.c proc.c
    DEPENDS dispatch httpd
    CASES lease-expiry lost-order refused-after-lost-order
    ends-acked-after-commit leadership-unconfirmed foreign-fence queued-starts-cancelled suspended-leader takeover takeover-speeds
    takeover-before-order takeover-after-cancel unassigned-run cancel
    capacity gang-refused failing-worker count-not-started preemption
    preemption-turns gang-queried-without-room service-failed
    service-worker-lost service-awaits-short-tasks service-takeover
    earlier-incarnation state-delayed deadly-task deadly-task-late
    deadly-task-long-outage deadly-task-takeover deadly-gang deadly-gangs
    deadly-crowd isolation-bounded isolation-gang unreachable-worker silent-worker-no-crash
    capacity-shrinks-before-order capacity-shrinks-before-resend
    capacity-shrinks-takeover capacity-late-heartbeat
    capacity-shrinks-below-use best-effort-cores restart-before-order
    restart-under-order restart-lease restart-orders restart-acknowledgement
    carried-start carried-start-runs carried-start-done carried-lease
    carried-answer acknowledged-once restart-late-heartbeat restart-permit claimed-address late-ready unknown-start
    key-required key-none-configured key-empty-list key-public-queue
    key-other-organisation key-rotated key-revoked key-takeover
    key-unconfirmed key-revoked-before-state key-suspended-before-state
    cap-over-workers cap-takeover cap-lowered
    cap-lowered-before-order cap-lowered-before-commit cap-silent-worker cap-gang-turn cap-gang-beside-service
    cap-gang-permit cap-no-preemption cap-never-fits cap-other-organisations
    policy-split policy-query-fails
    policy-process-lost policy-late-answers policy-takeover policy-single
    policy-ahead policy-ahead-overdue policy-learn policy-fast-denied
    overload-refused overload-off overload-room
    overload-overdue overload-proposed overload-takeover
    overload-never-fits overload-stops overload-aged-turns drain-evacuates drain-unknown
    drain-old-deregistration drain-left-for-good
    share-order share-preemption
    share-surplus share-kept refused-over-weight not-refused-with-room organisation-metrics
    explain-reasons explain-max-per-worker explain-excluded explain-permits
    explain-reserved explain-slow
    explain-organisation explain-gang explain-waiting explain-as-submitted
    explain-changes-nothing explain-invalid
    checkpoint-too-long ends-cut odd-end-number odd-address
    failing-service failing-service-backs-off failing-service-moves)
