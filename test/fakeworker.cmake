bt_program(fakeworker SOURCES fakeworker.c faketask.c httppool.c DEPENDS base)
