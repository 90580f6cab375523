# With a session of its own instead of the library's.
bt_test(home_test SOURCES home_test.c proc.c
    ${CMAKE_SOURCE_DIR}/bulrushtided/home.c
    DEPENDS base wire httpd logs counter cell api trace stop)
target_include_directories(home_test PRIVATE ${CMAKE_SOURCE_DIR}/bulrushtided)
