/* Runs bulrushctl in tests. */
#ifndef CTL_RUN_H
#define CTL_RUN_H

#include "base.h"

/* The result of one run. */
struct run {
	int exit; /* exit code */
	char *out; /* standard output */
	char *err; /* standard error */
};

/* Runs bulrushctl with arguments separated by spaces; waits for its end. */
struct run run_ctl(const char *args);
/* Frees the output. */
void run_clear(struct run *r);

/* Fails the test if the text does not contain the part. */
void assert_has(const char *text, const char *part);

#endif
