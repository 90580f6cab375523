foreach(part ctl_test ctl_cell_test)
	bt_test(${part} SOURCES ${part}.c ctl_run.c proc.c DEPENDS base)
	target_compile_definitions(${part} PRIVATE
	    BULRUSHCTL="$<TARGET_FILE:bulrushctl>"
	    EXAMPLES="${CMAKE_SOURCE_DIR}/examples")
	add_dependencies(${part} bulrushctl)
endforeach()
target_link_libraries(ctl_test PRIVATE event_pthreads)
add_dependencies(ctl_cell_test bulrushtided fakeworker)
