bt_test(wal_test SOURCES wal_test.c DEPENDS wal)
