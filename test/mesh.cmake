bt_test(mesh_test SOURCES mesh_test.c proc.c DEPENDS mesh)
