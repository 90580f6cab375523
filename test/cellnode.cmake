bt_cases(cellnode SOURCES cellnode_test.c proc.c DEPENDS base httpd
    CASES whole-path losses stops)
add_dependencies(cellnode_test bulrushtide-platform)
