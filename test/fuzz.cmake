# Fuzz targets: fuzz/NAME_fuzz.c with the corpus in fuzz/NAME. The ctest test
# runs each input of the corpus once. With FUZZ (clang only, see fuzz/run) the
# targets are linked with libFuzzer instead, which generates new inputs.
option(FUZZ "link the fuzz targets with libFuzzer" OFF)

function(bt_fuzz name)
	cmake_parse_arguments(A "" "" "SOURCES;DEPENDS" ${ARGN})
	set(fuzz ${CMAKE_SOURCE_DIR}/fuzz)
	add_executable(${name}_fuzz ${fuzz}/${name}_fuzz.c ${A_SOURCES})
	target_link_libraries(${name}_fuzz PRIVATE ${A_DEPENDS})
	target_include_directories(${name}_fuzz PRIVATE ${fuzz})
	if(FUZZ)
		target_link_options(${name}_fuzz PRIVATE -fsanitize=fuzzer
		    -fsanitize=address,undefined)
	else()
		target_sources(${name}_fuzz PRIVATE ${fuzz}/corpus.c)
		add_test(NAME ${name}_fuzz
		    COMMAND ${name}_fuzz ${fuzz}/${name})
		set_tests_properties(${name}_fuzz PROPERTIES TIMEOUT 60)
	endif()
endfunction()

bt_fuzz(config DEPENDS config)
bt_fuzz(frame SOURCES ${CMAKE_SOURCE_DIR}/bulrushtided/proto.c
    DEPENDS raft cell wire)
target_include_directories(frame_fuzz PRIVATE ${CMAKE_SOURCE_DIR}/bulrushtided)
bt_fuzz(body DEPENDS api)
bt_fuzz(cell DEPENDS cell)
bt_fuzz(platform DEPENDS platform)
