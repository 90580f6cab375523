bt_test(flow_test SOURCES flow_test.c DEPENDS flow wire)
