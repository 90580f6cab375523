bt_test(learn_test SOURCES learn_test.c DEPENDS learn)
