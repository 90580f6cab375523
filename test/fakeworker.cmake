bt_program(fakeworker SOURCES fakeworker.c faketask.c httppool.c DEPENDS base)
bt_test(fakeworker_test SOURCES fakeworker_test.c proc.c httppool.c
    DEPENDS base httpd)
add_dependencies(fakeworker_test fakeworker)
