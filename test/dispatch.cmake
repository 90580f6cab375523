bt_test(dispatch_test SOURCES dispatch_test.c stubworker.c proc.c
    DEPENDS dispatch httpd)
