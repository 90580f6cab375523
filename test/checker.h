/*
 * Judges a run by the recordings of its stand-in workers and callers, one
 * JSON object a line, all on one monotonic clock. Workers record what
 * fakeworker writes. Callers and the harness record:
 *
 *	accepted  key job idempotent        a job was accepted
 *	answer    key job outcome results   a job's final answer
 *	refused   key outcome               a submission was not accepted
 *	called    key idempotent outcome answer_key   a call was answered
 *	killed    worker                    a worker's process was killed
 *
 * A job's payload carries its key as "token", so that starts can be told
 * apart; a call's body is its key.
 */
#ifndef CHECKER_H
#define CHECKER_H

#include "base.h"

struct checker;

struct checker *checker_new(void);
void checker_free(struct checker *c);

/* Takes one recorded line. ERR_INVALID if it is not an event. */
bool checker_line(struct checker *c, const char *line, GError **err);

/* Takes a file; a last line that was cut short is passed over. */
bool checker_read(struct checker *c, const char *path, GError **err);

/*
 * Returns what was found, each "RULE: sentence"; empty for a clean run. The
 * rules: overlap, over-allocation, late-stop, second-run, not-run-ran, lost,
 * foreign-answer, false-report.
 */
GPtrArray *checker_findings(struct checker *c);

#endif
