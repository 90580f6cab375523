bt_test(wire_test SOURCES wire_test.c DEPENDS wire)
bt_test(httpd_test SOURCES httpd_test.c tcp.c DEPENDS httpd)
