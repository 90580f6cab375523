bt_test(speed_test SOURCES speed_test.c DEPENDS speed)
