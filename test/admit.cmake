bt_test(admit_test SOURCES admit_test.c overload_replay.c overload_loads.c
    DEPENDS admit plan)
