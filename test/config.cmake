bt_test(config_test SOURCES config_test.c DEPENDS config)
