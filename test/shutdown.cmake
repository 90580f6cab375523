bt_cases(shutdown SOURCES shutdown_test.c stepcell.c proc.c tcp.c
    DEPENDS base httpd
    CASES crash-with-requests crash-with-policy-query requests-cut
    cut-by-stops-in-turn answer-truncated redirect-reset signal-at-exit
    signal-at-start)
add_dependencies(shutdown_test bulrushtide-platform faultproxy)
