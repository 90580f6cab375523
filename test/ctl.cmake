bt_test(ctl_test SOURCES ctl_test.c DEPENDS config)
target_compile_definitions(ctl_test PRIVATE
    BULRUSHCTL="$<TARGET_FILE:bulrushctl>"
    EXAMPLES="${CMAKE_SOURCE_DIR}/examples")
add_dependencies(ctl_test bulrushctl)
target_link_libraries(ctl_test PRIVATE event_pthreads)
