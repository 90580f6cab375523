bt_test(auth_test SOURCES auth_test.c DEPENDS auth)
