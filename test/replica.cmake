bt_cases(replica SOURCES replica_test.c proc.c DEPENDS replica CASES
    bootstrap lost-disk replaced-vms removed-and-back
    founder-removed-and-restarted quorum-lost quorum-kept learner-promoted
    deposed-leader-proposals two-disks-during-outage
    unknown-losses-during-outage outage-during-disk-losses
    replaced-before-removed returns-before-removal)
