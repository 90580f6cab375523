set(CROWD_CASES announced-bodies unfinished-bodies unfinished-heads
    unread-answers silent-connections unfinished-frames many-requests
    many-values body-in-limits head-in-limits config-in-limits)
bt_cases(crowd SOURCES crowd_test.c proc.c DEPENDS base CASES ${CROWD_CASES})
add_dependencies(crowd_test bulrushtide-platform)
# Other load would change neither result, but the crowds would disturb others.
foreach(case ${CROWD_CASES})
	set_tests_properties(crowd_${case} PROPERTIES RUN_SERIAL TRUE)
endforeach()
