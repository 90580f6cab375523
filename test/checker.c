#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "checker.h"

#define LATE_STOP_MS 500 /* tolerance for a stop after the lease end */
#define NEVER INT64_MAX /* end of a run that has not ended */

/* One attempt on one worker. */
struct run {
	const char *worker;
	const char *task;
	const char *token; /* of its payload; "" if none */
	uint64_t job;
	int64_t attempt;
	int64_t start_ms;
	int64_t end_ms;
	bool echo; /* its result contains the payload */
	bool done;
	struct resources resources;
};

/* The answers that a caller got for one key. */
struct request {
	const char *key;
	uint64_t job; /* 0: not accepted */
	bool idempotent;
	const char *outcome; /* NULL: no final answer */
	int64_t answered_ms;
	json_t *results;
};

/* A worker's recorded capacity and its last suspension. */
struct worker {
	const char *name;
	struct resources capacity;
	int64_t slots;
	int64_t suspended_ms;
	int64_t resumed_ms;
};

struct checker {
	GPtrArray *events; /* json_t; checker_violations() sorts by time */
	GPtrArray *runs; /* struct run */
	GHashTable *requests; /* key -> struct request */
	GHashTable *workers; /* name -> struct worker */
	GHashTable *calls; /* key -> number of times that workers ran it */
	GPtrArray *violations;
};

static const char *
text(const json_t *event, const char *key)
{
	const char *s = json_string_value(json_object_get(event, key));

	return s != NULL ? s : "";
}

static int64_t
number(const json_t *event, const char *key)
{
	return json_integer_value(json_object_get(event, key));
}

static void
report(struct checker *c, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
report(struct checker *c, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	g_ptr_array_add(c->violations, g_strdup_vprintf(format, ap));
	va_end(ap);
}

static void
event_free(void *arg)
{
	json_decref(arg);
}

struct checker *
checker_new(void)
{
	struct checker *c = g_new0(struct checker, 1);

	c->events = g_ptr_array_new_with_free_func(event_free);
	c->runs = g_ptr_array_new_with_free_func(g_free);
	c->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->calls = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

void
checker_free(struct checker *c)
{
	g_ptr_array_unref(c->runs);
	g_hash_table_unref(c->requests);
	g_hash_table_unref(c->workers);
	g_hash_table_unref(c->calls);
	g_ptr_array_unref(c->events);
	g_free(c);
}

bool
checker_line(struct checker *c, const char *line, GError **err)
{
	json_t *event = json_loads(line, 0, NULL);

	if (event == NULL || *text(event, "event") == 0) {
		json_decref(event);
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "checker: not an event: %s", line);
		return false;
	}
	g_ptr_array_add(c->events, event);
	return true;
}

bool
checker_read(struct checker *c, const char *path, GError **err)
{
	char *content;
	char **lines;
	bool ok = true;

	if (!g_file_get_contents(path, &content, NULL, err))
		return false;
	lines = g_strsplit(content, "\n", -1);
	/* What follows the last newline is empty or truncated. */
	for (guint i = 0; ok && lines[i] != NULL && lines[i + 1] != NULL; i++)
		ok = checker_line(c, lines[i], err);
	g_strfreev(lines);
	g_free(content);
	return ok;
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
	int64_t x = number(*(json_t *const *)a, "ms");
	int64_t y = number(*(json_t *const *)b, "ms");

	return x < y ? -1 : x > y;
}

static struct worker *
find_worker(struct checker *c, const char *name)
{
	struct worker *w = g_hash_table_lookup(c->workers, name);

	if (w == NULL) {
		w = g_new0(struct worker, 1);
		w->name = name;
		g_hash_table_insert(c->workers, (void *)name, w);
	}
	return w;
}

static struct request *
find_request(struct checker *c, const char *key)
{
	struct request *r = g_hash_table_lookup(c->requests, key);

	if (r == NULL) {
		r = g_new0(struct request, 1);
		r->key = key;
		r->idempotent = true;
		g_hash_table_insert(c->requests, (void *)key, r);
	}
	return r;
}

/* Returns the event's run (worker, task, attempt) if not ended, or NULL. */
static struct run *
open_run(struct checker *c, const json_t *event)
{
	for (guint i = c->runs->len; i-- > 0;) {
		struct run *r = c->runs->pdata[i];

		if (r->end_ms == NEVER &&
		    r->attempt == number(event, "attempt") &&
		    strcmp(r->worker, text(event, "worker")) == 0 &&
		    strcmp(r->task, text(event, "task")) == 0)
			return r;
	}
	return NULL;
}

static void
on_announce(struct checker *c, json_t *event)
{
	struct worker *w = find_worker(c, text(event, "worker"));

	w->capacity = (struct resources){ number(event, "millicpus"),
		number(event, "memory_bytes"), number(event, "accelerators") };
	w->slots = number(event, "slots");
}

static void
on_start(struct checker *c, json_t *event)
{
	const json_t *payload = json_object_get(event, "payload");
	struct run *r = g_new0(struct run, 1);

	r->worker = text(event, "worker");
	r->task = text(event, "task");
	r->token = text(payload, "token");
	r->job = g_ascii_strtoull(r->task, NULL, 10);
	r->attempt = number(event, "attempt");
	r->start_ms = number(event, "ms");
	r->end_ms = NEVER;
	r->echo = json_is_true(json_object_get(payload, "echo"));
	r->resources = (struct resources){ number(event, "millicpus"),
		number(event, "memory_bytes"), number(event, "accelerators") };
	g_ptr_array_add(c->runs, r);
}

static void
on_end(struct checker *c, json_t *event)
{
	struct run *r = open_run(c, event);

	if (r == NULL)
		return;
	r->end_ms = number(event, "ms");
	r->done = strcmp(text(event, "status"), "done") == 0;
}

/*
 * If the worker was suspended when the lease ended, the attempt could not do
 * anything after that, so its end is the end of the lease. A worker that was
 * not suspended must have stopped it in time.
 */
static void
on_lease_out(struct checker *c, json_t *event)
{
	const struct worker *w = find_worker(c, text(event, "worker"));
	struct run *r = open_run(c, event);
	int64_t lease_end_ms = number(event, "bound_ms");
	int64_t at_ms = number(event, "ms");
	bool suspended =
	    w->suspended_ms <= lease_end_ms && lease_end_ms <= w->resumed_ms;

	if (r == NULL)
		return;
	r->end_ms = suspended ? lease_end_ms : at_ms;
	if (at_ms - lease_end_ms > LATE_STOP_MS && !suspended)
		report(c,
		    "late-stop: %s/%" PRId64 " on %s stopped %" PRId64
		    " ms after the end of its lease",
		    r->task, r->attempt, r->worker, at_ms - lease_end_ms);
}

static void
on_woke(struct checker *c, json_t *event)
{
	struct worker *w = find_worker(c, text(event, "worker"));

	w->suspended_ms = number(event, "asleep_since");
	w->resumed_ms = number(event, "ms");
}

/* A worker's process has ended, and with it all that it ran. */
static void
on_killed(struct checker *c, json_t *event)
{
	for (guint i = 0; i < c->runs->len; i++) {
		struct run *r = c->runs->pdata[i];

		if (r->end_ms == NEVER &&
		    strcmp(r->worker, text(event, "worker")) == 0)
			r->end_ms = number(event, "ms");
	}
}

static void
on_refuse(struct checker *c, json_t *event)
{
	const char *reason = text(event, "reason");

	if (strcmp(reason, "slots") == 0 || strcmp(reason, "resources") == 0 ||
	    strcmp(reason, "connections") == 0)
		report(c, "over-allocation: %s had no free %s for %s",
		    text(event, "worker"), reason, text(event, "task"));
}

static void
on_call(struct checker *c, json_t *event)
{
	const char *key = text(event, "key");
	int n = GPOINTER_TO_INT(g_hash_table_lookup(c->calls, key));

	g_hash_table_insert(c->calls, (void *)key, GINT_TO_POINTER(n + 1));
}

static void
on_accepted(struct checker *c, json_t *event)
{
	struct request *r = find_request(c, text(event, "key"));
	uint64_t job = (uint64_t)number(event, "job");

	if (r->job != 0 && r->job != job)
		report(c,
		    "second-run: %s was accepted as job %" PRIu64
		    " and as %" PRIu64,
		    r->key, r->job, job);
	r->job = job;
	r->idempotent = json_is_true(json_object_get(event, "idempotent"));
}

static void
on_answer(struct checker *c, json_t *event)
{
	struct request *r = find_request(c, text(event, "key"));
	const char *outcome = text(event, "outcome");

	if (r->outcome != NULL && strcmp(r->outcome, outcome) != 0)
		report(c, "false-report: %s got outcome %s, then %s", r->key,
		    r->outcome, outcome);
	r->outcome = outcome;
	r->answered_ms = number(event, "ms");
	r->results = json_object_get(event, "results");
}

/* A submission that was not accepted; only "not-run" excludes a run. */
static void
on_refused(struct checker *c, json_t *event)
{
	struct request *r = find_request(c, text(event, "key"));

	if (r->job == 0)
		r->outcome = text(event, "outcome");
}

static void
on_called(struct checker *c, json_t *event)
{
	const char *key = text(event, "key");
	const char *outcome = text(event, "outcome");
	int n = GPOINTER_TO_INT(g_hash_table_lookup(c->calls, key));

	if (strcmp(outcome, "not-run") == 0 && n > 0)
		report(c, "not-run-ran: call %s ran %d times", key, n);
	if (!json_is_true(json_object_get(event, "idempotent")) && n > 1)
		report(c, "second-run: call %s ran %d times", key, n);
	if (strcmp(outcome, "done") != 0)
		return;
	if (n == 0)
		report(c, "false-report: call %s is done but never ran", key);
	if (strcmp(text(event, "answer_key"), key) != 0)
		report(c, "foreign-answer: call %s got the answer of %s", key,
		    text(event, "answer_key"));
}

/* Handlers of events; events not listed are irrelevant to the rules. */
struct handler {
	const char *event;
	void (*handle)(struct checker *c, json_t *event);
	bool last; /* in a second pass, as it needs the counts of the first */
};

static const struct handler handlers[] = {
	{ "announce", on_announce, false },
	{ "start", on_start, false },
	{ "end", on_end, false },
	{ "stop", on_end, false },
	{ "lease-out", on_lease_out, false },
	{ "woke", on_woke, false },
	{ "vanish", on_killed, false },
	{ "killed", on_killed, false },
	{ "refuse", on_refuse, false },
	{ "call", on_call, false },
	{ "accepted", on_accepted, false },
	{ "answer", on_answer, false },
	{ "refused", on_refused, false },
	{ "called", on_called, true },
};

static void
handle_events(struct checker *c, bool last)
{
	for (guint i = 0; i < c->events->len; i++) {
		json_t *event = c->events->pdata[i];

		for (size_t k = 0; k < G_N_ELEMENTS(handlers); k++) {
			if (handlers[k].last == last &&
			    strcmp(handlers[k].event, text(event, "event")) ==
				0)
				handlers[k].handle(c, event);
		}
	}
}

static gint
compare_task(gconstpointer a, gconstpointer b)
{
	const struct run *x = *(struct run *const *)a;
	const struct run *y = *(struct run *const *)b;
	int order = strcmp(x->task, y->task);

	if (order != 0)
		return order;
	return x->start_ms < y->start_ms ? -1 : x->start_ms > y->start_ms;
}

/* Finds a run's request by its token, or else by its job; NULL: none. */
static const struct request *
find_run_request(const struct checker *c, const struct run *r)
{
	GHashTableIter it;
	void *value;
	const struct request *q = g_hash_table_lookup(c->requests, r->token);

	if (q != NULL)
		return q;
	g_hash_table_iter_init(&it, c->requests);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		q = value;
		if (q->job != 0 && q->job == r->job)
			return q;
	}
	return NULL;
}

/* Checks the runs of each task; they must be sorted by task and start. */
static void
check_tasks(struct checker *c)
{
	const struct run *latest = NULL; /* run of the task that ends last */

	for (guint i = 0; i < c->runs->len; i++) {
		const struct run *r = c->runs->pdata[i];
		const struct request *q = find_run_request(c, r);

		if (latest != NULL && strcmp(latest->task, r->task) != 0)
			latest = NULL;
		if (latest != NULL && latest->end_ms > r->start_ms)
			report(c,
			    "overlap: %s ran as %" PRId64 " on %s and as "
			    "%" PRId64 " on %s at %" PRId64,
			    r->task, latest->attempt, latest->worker,
			    r->attempt, r->worker, r->start_ms);
		if (latest != NULL && q != NULL && !q->idempotent)
			report(c, "second-run: %s of %s ran twice", r->task,
			    q->key);
		if (latest == NULL || r->end_ms > latest->end_ms)
			latest = r;
		if (q == NULL || q->outcome == NULL)
			continue;
		if (strcmp(q->outcome, "not-run") == 0)
			report(c, "not-run-ran: %s of %s ran on %s", r->task,
			    q->key, r->worker);
		else if (q->job != 0 && r->start_ms > q->answered_ms)
			report(c,
			    "false-report: %s started after outcome %s was "
			    "reported",
			    r->task, q->outcome);
	}
}

/* Checks that a worker's runs did not exceed its capacity and slots when the
 * given one started. */
static void
check_capacity(struct checker *c, const struct run *started)
{
	const struct worker *w = find_worker(c, started->worker);
	struct resources sum = { 0 };
	int64_t count = 0;

	for (guint i = 0; i < c->runs->len; i++) {
		const struct run *r = c->runs->pdata[i];

		if (strcmp(r->worker, started->worker) != 0 ||
		    r->start_ms > started->start_ms ||
		    r->end_ms <= started->start_ms)
			continue;
		resources_add(&sum, &r->resources, 1);
		count++;
	}
	if (!resources_fit(&sum, &w->capacity) || count > w->slots)
		report(c,
		    "over-allocation: %s ran %" PRId64 " tasks, %" PRId64
		    " millicpus, %" PRId64 " bytes, %" PRId64
		    " accelerators at %" PRId64,
		    w->name, count, sum.millicpus, sum.memory, sum.accelerators,
		    started->start_ms);
}

/*
 * Returns the run that a result is from, or NULL. The result's task is an index
 * in the job or a task id.
 */
static const struct run *
find_result_run(
    struct checker *c, const struct request *q, const json_t *result)
{
	const json_t *task = json_object_get(result, "task");
	char *name = json_is_integer(task)
	    ? g_strdup_printf("%" PRIu64 ".%" PRId64, q->job,
		  (int64_t)json_integer_value(task))
	    : g_strdup(text(result, "task"));
	const struct run *run = NULL;

	for (guint i = 0; i < c->runs->len && run == NULL; i++) {
		const struct run *r = c->runs->pdata[i];

		if (r->attempt == number(result, "attempt") &&
		    strcmp(r->task, name) == 0)
			run = r;
	}
	g_free(name);
	return run;
}

static void
check_result(struct checker *c, const struct request *q, const json_t *result)
{
	const struct run *r = find_result_run(c, q, result);
	const json_t *echo = json_object_get(result, "result");

	if (strcmp(text(result, "status"), "done") != 0)
		return;
	if (r == NULL || !r->done) {
		report(c,
		    "false-report: %s has a result that no worker returned",
		    q->key);
		return;
	}
	if (r->echo &&
	    (strcmp(text(json_object_get(echo, "payload"), "token"), q->key) !=
		    0 ||
		strcmp(text(echo, "task"), r->task) != 0))
		report(c,
		    "foreign-answer: %s got a result of another task for %s",
		    q->key, r->task);
}

static void
check_request(struct checker *c, const struct request *q)
{
	const json_t *result;
	size_t i;

	if (q->job != 0 && q->outcome == NULL)
		report(c, "lost: job %" PRIu64 " of %s has no final outcome",
		    q->job, q->key);
	if (q->outcome == NULL || strcmp(q->outcome, "done") != 0)
		return;
	if (json_array_size(q->results) == 0)
		report(c, "false-report: %s is done without results", q->key);
	json_array_foreach(q->results, i, result) check_result(c, q, result);
}

GPtrArray *
checker_violations(struct checker *c)
{
	GHashTableIter it;
	void *value;

	c->violations = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_sort(c->events, compare_time);
	handle_events(c, false);
	handle_events(c, true);
	g_ptr_array_sort(c->runs, compare_task);
	check_tasks(c);
	for (guint i = 0; i < c->runs->len; i++)
		check_capacity(c, c->runs->pdata[i]);
	g_hash_table_iter_init(&it, c->requests);
	while (g_hash_table_iter_next(&it, NULL, &value))
		check_request(c, value);
	return c->violations;
}
