bt_test(settings_test SOURCES settings_test.c DEPENDS settings)
