/*
 * Formats reply bodies. Results and payloads are copied byte for byte.
 */
#include <string.h>

#include <jansson.h>

#include "api.h"

#define U64 "%" G_GUINT64_FORMAT
#define I64 "%" G_GINT64_FORMAT

/* Appends a JSON string. */
static void
put_string(GString *g, const char *s)
{
	json_t *json = json_string(s == NULL ? "" : s);
	char *text = json_dumps(json, JSON_ENCODE_ANY);

	g_string_append(g, text == NULL ? "\"\"" : text);
	free(text);
	json_decref(json);
}

/* Appends ,"key":"value" (key needs no escapes). */
static void
put_member(GString *g, const char *key, const char *value)
{
	g_string_append_printf(g, ",\"%s\":", key);
	put_string(g, value);
}

static void
put_raw_member(GString *g, const char *key, GBytes *json)
{
	gsize len;
	const char *text;

	if (json == NULL)
		return;
	text = g_bytes_get_data(json, &len);
	g_string_append_printf(g, ",\"%s\":", key);
	g_string_append_len(g, text, (gssize)len);
}

static void
put_resources(GString *g, const char *key, const struct resources *r)
{
	g_string_append_printf(g,
	    ",\"%s\":{\"millicpus\":" I64 ",\"memory_bytes\":" I64
	    ",\"accelerators\":" I64 "}",
	    key, r->millicpus, r->memory, r->accelerators);
}

char *
api_reply(enum outcome outcome, const char *reason, const char *message)
{
	GString *g = g_string_new("{\"outcome\":");

	put_string(g, outcome_name(outcome));
	if (reason != NULL) {
		put_member(g, "reason", reason);
		put_member(g, "message", message == NULL ? reason : message);
	}
	g_string_append_c(g, '}');
	return g_string_free(g, FALSE);
}

static void
put_reason(GString *g, const char *reason, const char *message)
{
	if (reason == NULL)
		return;
	put_member(g, "reason", reason);
	put_member(g, "message", message == NULL ? reason : message);
}

/* Default messages of the reasons why a job waits. */
static const struct {
	const char *reason;
	const char *message;
} waiting_messages[] = {
	{ "turn", "other jobs are ahead of this one" },
	{ "room", "no worker has enough free resources for a task now" },
	{ "gang-room", "there are free resources for some of the tasks only" },
	{ "quota",
	    "the job would exceed the team's quota while other teams wait" },
	{ "reserved",
	    "the free resources are reserved for a job that "
	    "needs all of them at once" },
	{ "never-fits",
	    "a task needs more resources than any known worker has" },
	{ "no-worker", "no worker is known in the allowed data centres" },
};

static const char *
default_message(const char *reason)
{
	for (size_t i = 0; i < G_N_ELEMENTS(waiting_messages); i++) {
		if (strcmp(waiting_messages[i].reason, reason) == 0)
			return waiting_messages[i].message;
	}
	return reason;
}

/* Reason and message of a job that ended with another outcome than done. */
static const struct {
	const char *reason;
	const char *message;
} end_reasons[OUT_COUNT] = {
	[OUT_FAILED] = { "task-failed", "not all tasks succeeded" },
	[OUT_CANCELLED] = { "cancelled", "the job was cancelled" },
	[OUT_NOT_RUN] = { "given-up", "no task was ever started" },
	[OUT_UNKNOWN] = { "result-unknown",
	    "a task may have run, but its result is unknown" },
};

/* A result's status is the task's state; a stopped task may have run in part.
 */
static void
put_results(GString *g, const struct cell_job *job)
{
	g_string_append(g, ",\"results\":[");
	for (uint32_t i = 0; i < job->spec.tasks; i++) {
		const struct cell_task *t = &job->task[i];

		g_string_append_printf(g,
		    "%s{\"task\":\"" U64 ".%u\",\"attempt\":%u", i ? "," : "",
		    job->id, i, t->attempt);
		put_member(g, "status", cell_task_state_name(t->state));
		put_raw_member(g, "result", t->result);
		g_string_append_c(g, '}');
	}
	g_string_append_c(g, ']');
}

static void
put_tasks(GString *g, const struct cell *c, const struct cell_job *job)
{
	g_string_append(g, ",\"tasks\":[");
	for (uint32_t i = 0; i < job->spec.tasks; i++) {
		const struct cell_task *t = &job->task[i];
		const struct cell_worker *w = cell_worker(c, t->worker);

		g_string_append_printf(g,
		    "%s{\"task\":\"" U64 ".%u\",\"attempt\":%u,"
		    "\"failures\":%u",
		    i ? "," : "", job->id, i, t->attempt, t->failures);
		put_member(g, "state", cell_task_state_name(t->state));
		if (w != NULL)
			put_member(g, "worker", w->name);
		g_string_append_c(g, '}');
	}
	g_string_append_c(g, ']');
}

static const char *
job_state(const struct cell_job *job)
{
	if (job->state == JOB_ENDED)
		return "ended";
	for (uint32_t i = 0; i < job->spec.tasks; i++) {
		if (job->task[i].worker != 0)
			return "running";
	}
	return "pending";
}

char *
api_job(const struct cell *c, const struct cell_job *job,
    const char *waiting_reason, const char *waiting_message)
{
	GString *g = g_string_new("{\"outcome\":");

	put_string(g, outcome_name(job->outcome));
	g_string_append_printf(g, ",\"job\":" U64, job->id);
	put_member(g, "team", job->spec.team);
	put_member(g, "name", job->spec.name);
	put_member(g, "kind", kind_name(job->spec.kind));
	put_member(g, "state", job_state(job));
	put_tasks(g, c, job);
	if (job->state == JOB_ENDED) {
		put_reason(g, end_reasons[job->outcome].reason,
		    end_reasons[job->outcome].message);
		put_results(g, job);
	} else if (waiting_reason != NULL) {
		put_reason(g, waiting_reason,
		    waiting_message == NULL ? default_message(waiting_reason)
					    : waiting_message);
	}
	g_string_append_c(g, '}');
	return g_string_free(g, FALSE);
}

/* A JSON array being written. */
struct list {
	GString *g;
	const struct cell *c;
	bool has_elements;
};

static void
list_next(struct list *l)
{
	if (l->has_elements)
		g_string_append_c(l->g, ',');
	l->has_elements = true;
}

static const char *
worker_state(const struct cell_worker *w)
{
	static const char *const names[] = { [WORKER_UP] = "up",
		[WORKER_DRAINING] = "draining",
		[WORKER_LOST] = "lost" };

	return names[w->state];
}

static bool
put_worker(void *arg, const struct cell_worker *w)
{
	struct list *l = arg;
	const struct cell_entry *home = cell_entry(l->c, w->home);

	list_next(l);
	g_string_append_printf(l->g, "{\"epoch\":" U64, w->epoch);
	put_member(l->g, "name", w->name);
	put_member(l->g, "address", w->address);
	put_member(l->g, "rack", w->rack);
	put_member(l->g, "data_center", w->data_center);
	put_member(l->g, "state", worker_state(w));
	put_member(l->g, "home", home == NULL ? "" : home->name);
	put_resources(l->g, "capacity", &w->capacity);
	put_resources(l->g, "used", &w->used);
	g_string_append_printf(l->g,
	    ",\"slots\":" I64 ",\"connections\":" I64 ",\"running\":" I64
	    ",\"set_aside\":%s}",
	    w->slots, w->connections, w->running,
	    w->set_aside ? "true" : "false");
	return true;
}

char *
api_workers(const struct cell *c)
{
	struct list l = {
		.g = g_string_new("{\"outcome\":\"done\",\"workers\":["), .c = c
	};

	cell_each_worker(c, put_worker, &l);
	g_string_append(l.g, "]}");
	return g_string_free(l.g, FALSE);
}

/* Current resource usage and task counts of a team. */
struct team_usage {
	struct resources used;
	uint64_t pending;
	uint64_t running;
};

static bool
add_usage(void *arg, const struct cell_job *job)
{
	GHashTable *usages = arg;
	struct team_usage *u;

	if (job->state == JOB_ENDED)
		return true;
	u = g_hash_table_lookup(usages, job->spec.team);
	if (u == NULL) {
		u = g_new0(struct team_usage, 1);
		g_hash_table_insert(usages, job->spec.team, u);
	}
	for (uint32_t i = 0; i < job->spec.tasks; i++) {
		u->pending += job->task[i].state == TASK_PENDING;
		if (job->task[i].worker == 0)
			continue;
		u->running++;
		resources_add(&u->used, &job->spec.resources, 1);
	}
	return true;
}

char *
api_teams(const struct cell *c)
{
	GHashTable *usages =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct list l = { .g = g_string_new(
			      "{\"outcome\":\"done\",\"teams\":[") };
	const GPtrArray *teams = cell_config(c)->teams;

	cell_each_job(c, add_usage, usages);
	for (guint i = 0; i < teams->len; i++) {
		const struct config_team *t = g_ptr_array_index(teams, i);
		const struct team_usage *u =
		    g_hash_table_lookup(usages, t->name);
		struct team_usage zero = { 0 };

		if (u == NULL)
			u = &zero;
		list_next(&l);
		g_string_append_printf(l.g, "{\"weight\":" I64, t->weight);
		put_member(l.g, "name", t->name);
		put_resources(l.g, "quota", &t->quota);
		put_resources(l.g, "used", &u->used);
		g_string_append_printf(l.g,
		    ",\"pending\":" U64 ",\"running\":" U64 "}", u->pending,
		    u->running);
	}
	g_string_append(l.g, "]}");
	g_hash_table_unref(usages);
	return g_string_free(l.g, FALSE);
}

char *
api_config(const struct cell *c)
{
	const GArray *overlays = cell_config_overlays(c);
	GString *g = g_string_new("{\"outcome\":\"done\"");

	g_string_append_printf(g, ",\"version\":" U64, cell_config_version(c));
	put_member(g, "digest", cell_config_digest(c));
	put_member(g, "author", cell_config_author(c));
	put_member(g, "base", cell_config_base(c));
	g_string_append(g, ",\"overlays\":{");
	for (guint i = 0; i < overlays->len; i++) {
		const struct cell_overlay *o =
		    &g_array_index(overlays, struct cell_overlay, i);

		g_string_append(g, i ? "," : "");
		put_string(g, o->site);
		g_string_append_c(g, ':');
		put_string(g, o->text);
	}
	g_string_append(g, "}}");
	return g_string_free(g, FALSE);
}

char *
api_start_order(const struct cell_spec *spec, uint64_t job, uint32_t task,
    uint32_t attempt, uint64_t epoch, int64_t lease_ms)
{
	GString *g = g_string_new(NULL);

	g_string_append_printf(g,
	    "{\"job\":" U64 ",\"task\":\"" U64 ".%u\",\"attempt\":%u,"
	    "\"epoch\":" U64 ",\"lease_ms\":" I64,
	    job, job, task, attempt, epoch, lease_ms);
	put_member(g, "name", spec->name);
	put_resources(g, "resources", &spec->resources);
	put_raw_member(g, "payload", spec->payload);
	g_string_append_c(g, '}');
	return g_string_free(g, FALSE);
}
