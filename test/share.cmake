bt_test(share_test SOURCES share_test.c share_replay.c DEPENDS share plan)
