/*
 * Checks the event records of a test run for violations of the cell's
 * guarantees. A record has one JSON object a line with the keys event and ms;
 * all records use the same monotonic clock. Workers write the events in
 * fakeworker.c and faketask.c; callers and the test harness write:
 *
 *	accepted  key job idempotent        a job was accepted
 *	answer    key job outcome results   a job's final outcome
 *	refused   key outcome               a submission was not accepted
 *	called    key idempotent outcome answer_key   a call has returned
 *	killed    worker                    a worker's process was killed
 *
 * A job's payload has its key as "token", which links starts to submissions;
 * the body of a call is its key.
 */
#ifndef CHECKER_H
#define CHECKER_H

#include "base.h"

struct checker;

struct checker *checker_new(void);
void checker_free(struct checker *c);

/* Adds one line of a record. ERR_INVALID if it is not an event. */
bool checker_line(struct checker *c, const char *line, GError **err);

/* Adds a file; a last line without a newline is ignored. */
bool checker_read(struct checker *c, const char *path, GError **err);

/*
 * Returns the violations, each as "RULE: sentence"; empty for a clean run.
 * Call once. The rules:
 *
 *	overlap          two attempts of a task ran at the same time
 *	over-allocation  a worker was given more than its resources, slots or
 *	                 connections allow
 *	late-stop        an attempt was not stopped at the end of its lease
 *	second-run       a task or call that is not idempotent ran twice, or a
 *	                 key was accepted as two jobs
 *	not-run-ran      something reported as "not-run" had run
 *	lost             an accepted job has no final outcome
 *	foreign-answer   a caller got the result of another request
 *	false-report     a reported outcome contradicts the records
 */
GPtrArray *checker_violations(struct checker *c);

#endif
