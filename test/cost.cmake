bt_test(cost_test SOURCES cost_test.c DEPENDS cost)
