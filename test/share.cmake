bt_test(share_test SOURCES share_test.c DEPENDS share)
