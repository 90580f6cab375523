bt_test(raft_test SOURCES raft_test.c raft_cluster.c raft_faults.c DEPENDS raft)
