bt_test(platform_test SOURCES platform_test.c DEPENDS platform)
