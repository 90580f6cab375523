bt_program(capacity_bench SOURCES capacity_bench.c bench_cell.c bench_sockets.c
    ${CMAKE_SOURCE_DIR}/test/proc.c ${CMAKE_SOURCE_DIR}/test/httppool.c
    DEPENDS base)
target_include_directories(capacity_bench PRIVATE ${CMAKE_SOURCE_DIR}/test)
add_dependencies(capacity_bench fakeworker bulrushtided)
