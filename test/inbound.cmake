bt_test(inbound_test SOURCES inbound_test.c DEPENDS inbound)
