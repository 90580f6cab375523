bt_test(health_test SOURCES health_test.c DEPENDS health)
