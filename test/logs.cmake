bt_test(logs_test SOURCES logs_test.c DEPENDS logs)
