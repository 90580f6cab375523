/*
 * Helpers that apply commands, for the tests of the cell library.
 */
#ifndef CELL_HELP_H
#define CELL_HELP_H

#include <string.h>

#include "cell.h"

#define GIB (INT64_C(1) << 30)

/* Encodes and applies a command, checks the invariants, returns the result. */
struct cell_result do_cmd(struct cell *c, struct cell_cmd *cmd);

struct cell_result do_config(
    struct cell *c, uint64_t version, const char *author, const char *base);
uint32_t do_entry(struct cell *c, const char *name);
uint32_t do_worker(struct cell *c, const char *name, uint64_t incarnation,
    uint32_t home, int64_t cores);
struct cell_result
do_state(struct cell *c, uint32_t worker, enum cell_worker_state state);
struct cell_cmd submit_cmd(const char *key, const char *body, enum kind kind,
    uint32_t tasks, bool idempotent);
uint64_t
do_submit(struct cell *c, enum kind kind, uint32_t tasks, bool idempotent);
/* Starts tasks 0 to count - 1 of a job on a worker; returns how many started.
 */
uint64_t
do_start(struct cell *c, uint64_t job, uint32_t count, uint32_t worker);
/* Ends the current attempt of a task. */
void do_end(struct cell *c, uint64_t job, uint32_t task, enum cell_end how);
struct cell_result do_cancel(struct cell *c, uint64_t job);

void add_random_tests(void);

#endif
