/*
 * The steps of a graceful stop. The process goes on serving for serve_ms, until
 * its callers know that it stops, and while it is still needed; then it stops
 * listening, and ends once it owes no answer. The grace period bounds this:
 * after four fifths of it, what is pending is refused, and after nine tenths
 * the process ends in any case, so that it has time to write what it has to
 * keep. No I/O and no clock: now_ms is the caller's.
 */
#ifndef STOP_H
#define STOP_H

#include "base.h"

enum stop_step {
	STOP_SERVE,
	STOP_LISTENING, /* stop listening; serve open connections */
	STOP_REFUSE, /* the same; answer what is pending, refuse what comes */
	STOP_END
};

struct stop {
	int64_t serve_ms;
	int64_t grace_ms;
	int64_t started_ms;
	enum stop_step step;
};

/* Its name in logs. */
const char *stop_step_name(enum stop_step step);

/* How often stop_next() is to be called. */
#define STOP_CHECK_MS 50

struct stop stop_begin(int64_t serve_ms, int64_t grace_ms, int64_t now_ms);

/*
 * Returns the current step; a step is to be carried out when it is returned for
 * the first time. owed: answers that are not given, or not sent whole; needed:
 * whether others still depend on the process.
 */
enum stop_step stop_next(struct stop *s, int owed, bool needed, int64_t now_ms);

#endif
