/* Runs of bulrushctl in tests. */
#ifndef CTL_RUN_H
#define CTL_RUN_H

#include "base.h"

/* The end of one run. */
struct run {
	int exit;
	char *out;
	char *err;
};

/* Runs bulrushctl with arguments that blanks part. */
struct run run_ctl(const char *args);
void run_clear(struct run *r);

/* Fails the test if the text lacks the part. */
void assert_has(const char *text, const char *part);

#endif
