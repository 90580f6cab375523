bt_test(replica_test SOURCES replica_test.c proc.c DEPENDS replica)
