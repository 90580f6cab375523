bt_program(faultproxy SOURCES faultproxy.c DEPENDS base)
