bt_test(plan_test SOURCES plan_test.c DEPENDS plan)
