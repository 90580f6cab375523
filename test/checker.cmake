bt_test(checker_test SOURCES checker_test.c checker.c DEPENDS base)
