bt_program(faultproxy SOURCES faultproxy.c DEPENDS base)
bt_test(faultproxy_test SOURCES faultproxy_test.c proc.c DEPENDS base)
add_dependencies(faultproxy_test faultproxy)
