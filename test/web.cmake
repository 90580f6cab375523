bt_test(web_test SOURCES web_test.c proc.c tcp.c DEPENDS base)
add_dependencies(web_test bulrushtided)
