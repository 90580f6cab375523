bt_test(admit_test SOURCES admit_test.c DEPENDS admit)
