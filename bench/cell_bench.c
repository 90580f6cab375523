/*
 * Applies commands to the cell state machine until it has WORKERS workers and
 * JOBS jobs. Prints the time and encoded size of each type of command, the
 * memory per worker and per job, and the size and times of a snapshot.
 */
#include <malloc.h>
#include <stdio.h>

#include "cell.h"

#define WORKERS 430
#define SLOTS 8
#define JOBS 7300 /* one day, one task each */
#define RUNNING 2600 /* started jobs; half of them end */

/* Totals over all commands of one type. */
struct timing {
	const char *name;
	int64_t count;
	int64_t total_us;
	size_t bytes; /* encoded */
};

static void
apply(struct cell *c, const struct cell_cmd *cmd, struct timing *t)
{
	GBytes *bytes = cell_cmd_encode(cmd);
	struct cell_result res;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	int64_t start = mono_us();

	if (!cell_apply(c, data, len, &res, NULL))
		g_error("cell_bench: a command was rejected");
	t->total_us += mono_us() - start;
	t->count++;
	t->bytes += len;
	cell_result_clear(&res);
	g_bytes_unref(bytes);
}

static void
print(const struct timing *t)
{
	printf("%-10s %6d commands  %6.2f us each  %5.1f bytes each\n", t->name,
	    (int)t->count, (double)t->total_us / (double)t->count,
	    (double)t->bytes / (double)t->count);
}

static void
announce_workers(struct cell *c)
{
	struct timing t = { "announce", 0, 0, 0 };

	for (int i = 0; i < WORKERS; i++) {
		char *name = g_strdup_printf("worker-%d", i);
		struct cell_cmd cmd = { .type = CMD_WORKER,
			.u.announce.worker = { .name = name,
			    .address = "10.20.30.40:9000",
			    .rack = "tacoma-r12",
			    .data_center = "tacoma",
			    .incarnation = 1,
			    .capacity = { 64000, INT64_C(1) << 37, 0 },
			    .slots = SLOTS,
			    .connections = 64 } };

		apply(c, &cmd, &t);
		g_free(name);
	}
	print(&t);
}

static void
submit_jobs(struct cell *c)
{
	struct timing t = { "submit", 0, 0, 0 };
	GBytes *payload = g_bytes_new_static("{\"run\":\"advent-12\"}", 19);

	for (int i = 0; i < JOBS; i++) {
		char *key = g_strdup_printf("6f1c2b3a-0000-4000-%08d", i);
		struct cell_cmd cmd = { .type = CMD_SUBMIT, .at_ms = i };

		cmd.u.submit.key = key;
		cmd.u.submit.spec = (struct cell_spec){ .team = "order-desk",
			.name = "stock-check",
			.kind = KIND_BATCH,
			.tasks = 1,
			.resources = { 500, 1 << 28, 0 },
			.payload = payload };
		apply(c, &cmd, &t);
		g_free(key);
	}
	g_bytes_unref(payload);
	print(&t);
}

/* Starts ten jobs per command, as a leader under load does. */
static void
start_jobs(struct cell *c)
{
	struct timing t = { "start x10", 0, 0, 0 };

	for (uint32_t i = 0; i < RUNNING; i += 10) {
		struct cell_cmd cmd = { .type = CMD_START, .at_ms = JOBS };

		cmd.u.start.starts =
		    g_array_new(FALSE, FALSE, sizeof(struct cell_start));
		for (uint32_t k = i; k < i + 10; k++) {
			struct cell_start s = { k + 1, 0, k % WORKERS + 1 };

			g_array_append_val(cmd.u.start.starts, s);
		}
		apply(c, &cmd, &t);
		g_array_unref(cmd.u.start.starts);
	}
	print(&t);
}

static void
end_jobs(struct cell *c)
{
	struct timing t = { "end", 0, 0, 0 };
	GBytes *result = g_bytes_new_static("{\"left\":144}", 12);

	for (uint32_t i = 0; i < RUNNING / 2; i++) {
		struct cell_cmd cmd = { .type = CMD_END, .at_ms = JOBS };

		cmd.u.end.job = i + 1;
		cmd.u.end.attempt = 1;
		cmd.u.end.worker = i % WORKERS + 1;
		cmd.u.end.result = result;
		apply(c, &cmd, &t);
	}
	g_bytes_unref(result);
	print(&t);
}

static void
measure_snapshot(struct cell *c)
{
	int64_t start = mono_us();
	GBytes *snapshot = cell_snapshot(c);
	int64_t taken = mono_us();
	struct cell *other = cell_new();

	if (!cell_restore(other, snapshot, NULL))
		g_error("cell_bench: the snapshot could not be restored");
	printf("snapshot   %d KiB  taken in %.1f ms  restored and checked in "
	       "%.1f ms\n",
	    (int)(g_bytes_get_size(snapshot) >> 10),
	    (double)(taken - start) / 1000, (double)(mono_us() - taken) / 1000);
	g_bytes_unref(snapshot);
	cell_free(other);
}

static size_t
heap_bytes(void)
{
	return mallinfo2().uordblks;
}

int
main(void)
{
	struct cell *c = cell_new();
	size_t before = heap_bytes();
	size_t workers;

	announce_workers(c);
	workers = heap_bytes();
	submit_jobs(c);
	printf("memory     %d bytes a worker  %d bytes a job with its key\n",
	    (int)((workers - before) / WORKERS),
	    (int)((heap_bytes() - workers) / JOBS));
	start_jobs(c);
	end_jobs(c);
	measure_snapshot(c);
	cell_free(c);
	return 0;
}
