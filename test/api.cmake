bt_test(api_test SOURCES api_test.c DEPENDS api)
