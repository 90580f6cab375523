bt_test(gate_test SOURCES gate_test.c DEPENDS gate)
