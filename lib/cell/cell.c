#include "internal.h"

static const char *const task_state_names[] = {
	[TASK_PENDING] = "pending",
	[TASK_ASSIGNED] = "assigned",
	[TASK_STOPPING] = "stopping",
	[TASK_DONE] = "done",
	[TASK_FAILED] = "failed",
	[TASK_CANCELLED] = "cancelled",
	[TASK_STOPPED] = "stopped",
	[TASK_NOT_RUN] = "not-run",
	[TASK_UNKNOWN] = "unknown",
};

/* Callbacks without effect, so that callers need not check for NULL. */
static void
no_config(void *arg)
{
}

static void
no_entry(void *arg, uint32_t entry, bool removed)
{
}

static void
no_worker(void *arg, uint32_t worker)
{
}

static void
no_pending(
    void *arg, const struct cell_job *job, uint32_t first, uint32_t count)
{
}

static void
no_job(void *arg, const struct cell_job *job)
{
}

static void
no_task(void *arg, const struct cell_job *job, uint32_t task)
{
}

static void
no_start_refused(void *arg, const struct cell_start *start)
{
}

static void
no_attempt_ended(void *arg, const struct cell_job *job, uint32_t task,
    uint32_t attempt, uint32_t worker, enum cell_end how)
{
}

static void
no_job_removed(void *arg, uint64_t job)
{
}

void
cell_set_watch(struct cell *c, const struct cell_watch *w, void *arg)
{
	static const struct cell_watch none;

	if (w == NULL)
		w = &none;
	c->watch_arg = arg;
	c->watch = (struct cell_watch){
		.config_changed =
		    w->config_changed ? w->config_changed : no_config,
		.entry_changed = w->entry_changed ? w->entry_changed : no_entry,
		.worker_changed =
		    w->worker_changed ? w->worker_changed : no_worker,
		.pending = w->pending ? w->pending : no_pending,
		.withdrawn = w->withdrawn ? w->withdrawn : no_job,
		.assigned = w->assigned ? w->assigned : no_task,
		.start_refused =
		    w->start_refused ? w->start_refused : no_start_refused,
		.stopping = w->stopping ? w->stopping : no_task,
		.attempt_ended =
		    w->attempt_ended ? w->attempt_ended : no_attempt_ended,
		.job_ended = w->job_ended ? w->job_ended : no_job,
		.job_removed = w->job_removed ? w->job_removed : no_job_removed,
	};
}

void
entry_free(struct cell_entry *e)
{
	if (e == NULL)
		return;
	g_free(e->name);
	g_free(e->address);
	g_free(e->region);
	g_free(e->data_center);
	g_free(e);
}

void
worker_clear(struct cell_worker *w)
{
	g_free(w->name);
	g_free(w->address);
	g_free(w->rack);
	g_free(w->data_center);
}

struct worker *
worker_new(void)
{
	struct worker *w = g_new0(struct worker, 1);

	w->attempts = g_array_new(FALSE, TRUE, sizeof(struct attempt_ref));
	w->lost = g_array_new(FALSE, TRUE, sizeof(struct attempt_ref));
	w->earlier = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return w;
}

static void
worker_free(struct worker *w)
{
	worker_clear(&w->pub);
	g_array_unref(w->attempts);
	g_array_unref(w->lost);
	g_array_unref(w->earlier);
	g_free(w);
}

void
job_free(struct job *j)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		if (j->pub.task[i].result != NULL)
			g_bytes_unref(j->pub.task[i].result);
	}
	g_free(j->pub.task);
	cell_spec_clear(&j->pub.spec);
	g_free(j);
}

void
idempotency_key_free(struct idempotency_key *k)
{
	g_free(k->team);
	g_free(k->key);
	g_free(k);
}

static guint
key_hash(gconstpointer p)
{
	const struct idempotency_key *k = p;

	return g_str_hash(k->team) * 31 + g_str_hash(k->key);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	const struct idempotency_key *x = a;
	const struct idempotency_key *y = b;

	return strcmp(x->team, y->team) == 0 && strcmp(x->key, y->key) == 0;
}

static gint
compare_ids(gconstpointer a, gconstpointer b, gpointer arg)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static void
clear_overlay(void *p)
{
	struct cell_overlay *o = p;

	g_free(o->site);
	g_free(o->text);
}

GArray *
overlays_new(void)
{
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct cell_overlay));

	g_array_set_clear_func(a, clear_overlay);
	return a;
}

struct cell_overlay *
overlay_add(GArray *overlays)
{
	g_array_set_size(overlays, overlays->len + 1);
	return &g_array_index(overlays, struct cell_overlay, overlays->len - 1);
}

GArray *
overlays_copy(const GArray *from)
{
	GArray *to = overlays_new();

	for (guint i = 0; from != NULL && i < from->len; i++) {
		struct cell_overlay *o =
		    &g_array_index(from, struct cell_overlay, i);
		struct cell_overlay *copy = overlay_add(to);

		copy->site = g_strdup(o->site);
		copy->text = g_strdup(o->text);
	}
	return to;
}

static void
clear_version(void *p)
{
	struct version *v = p;

	g_free(v->digest);
	g_free(v->author);
}

struct cell *
cell_new(void)
{
	struct cell *c = g_new0(struct cell, 1);

	cell_set_watch(c, NULL, NULL);
	c->config = config_default();
	c->overlays = overlays_new();
	c->history = g_array_new(FALSE, TRUE, sizeof(struct version));
	g_array_set_clear_func(c->history, clear_version);
	c->entries = g_ptr_array_new_with_free_func((GDestroyNotify)entry_free);
	c->workers =
	    g_ptr_array_new_with_free_func((GDestroyNotify)worker_free);
	c->worker_names = g_hash_table_new(g_str_hash, g_str_equal);
	c->jobs =
	    g_tree_new_full(compare_ids, NULL, NULL, (GDestroyNotify)job_free);
	c->keys = g_hash_table_new_full(
	    key_hash, key_equal, (GDestroyNotify)idempotency_key_free, NULL);
	c->job_keys = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&c->ended_jobs);
	g_queue_init(&c->ended_keys);
	return c;
}

void
cell_free(struct cell *c)
{
	if (c == NULL)
		return;
	g_queue_clear(&c->ended_jobs);
	g_queue_clear(&c->ended_keys);
	g_hash_table_unref(c->job_keys);
	g_hash_table_unref(c->keys);
	g_tree_unref(c->jobs);
	g_hash_table_unref(c->worker_names);
	g_ptr_array_unref(c->workers);
	g_ptr_array_unref(c->entries);
	g_array_unref(c->history);
	g_array_unref(c->overlays);
	config_unref(c->config);
	g_free(c->base);
	g_free(c);
}

struct cell_entry *
find_entry(const struct cell *c, uint32_t id)
{
	if (id == 0 || id > c->entries->len)
		return NULL;
	return g_ptr_array_index(c->entries, id - 1);
}

struct worker *
find_worker(const struct cell *c, uint32_t id)
{
	if (id == 0 || id > c->workers->len)
		return NULL;
	return g_ptr_array_index(c->workers, id - 1);
}

struct job *
find_job(const struct cell *c, uint64_t id)
{
	return g_tree_lookup(c->jobs, &id);
}

void
add_worker(struct cell *c, struct worker *w)
{
	g_ptr_array_add(c->workers, w);
	w->pub.id = c->workers->len;
	g_hash_table_insert(c->worker_names, w->pub.name, w);
}

void
add_job(struct cell *c, struct job *j)
{
	g_tree_insert(c->jobs, &j->pub.id, j);
}

void
add_idempotency_key(struct cell *c, struct idempotency_key *k)
{
	g_hash_table_add(c->keys, k);
	g_hash_table_insert(c->job_keys, &k->job, k);
}

int64_t
cell_time_ms(const struct cell *c)
{
	return c->time_ms;
}

uint64_t
cell_config_version(const struct cell *c)
{
	return c->config_version;
}

static const struct version *
current_version(const struct cell *c)
{
	if (c->history->len == 0)
		return NULL;
	return &g_array_index(c->history, struct version, c->history->len - 1);
}

const char *
cell_config_digest(const struct cell *c)
{
	const struct version *v = current_version(c);

	return v == NULL ? "" : v->digest;
}

const char *
cell_config_author(const struct cell *c)
{
	const struct version *v = current_version(c);

	return v == NULL ? "" : v->author;
}

const char *
cell_config_base(const struct cell *c)
{
	return c->base == NULL ? "" : c->base;
}

const GArray *
cell_config_overlays(const struct cell *c)
{
	return c->overlays;
}

struct config *
cell_config(const struct cell *c)
{
	return c->config;
}

const struct cell_entry *
cell_entry(const struct cell *c, uint32_t id)
{
	return find_entry(c, id);
}

const struct cell_entry *
cell_entry_named(const struct cell *c, const char *s)
{
	for (guint i = 0; i < c->entries->len; i++) {
		struct cell_entry *e = g_ptr_array_index(c->entries, i);

		if (e != NULL && strcmp(e->name, s) == 0)
			return e;
	}
	return NULL;
}

const struct cell_worker *
cell_worker(const struct cell *c, uint32_t id)
{
	struct worker *w = find_worker(c, id);

	return w == NULL ? NULL : &w->pub;
}

const struct cell_worker *
cell_worker_named(const struct cell *c, const char *name)
{
	struct worker *w = g_hash_table_lookup(c->worker_names, name);

	return w == NULL ? NULL : &w->pub;
}

const struct cell_job *
cell_job(const struct cell *c, uint64_t id)
{
	struct job *j = find_job(c, id);

	return j == NULL ? NULL : &j->pub;
}

void
cell_each_entry(const struct cell *c,
    bool (*fn)(void *, const struct cell_entry *), void *arg)
{
	for (guint i = 0; i < c->entries->len; i++) {
		struct cell_entry *e = g_ptr_array_index(c->entries, i);

		if (e != NULL && !fn(arg, e))
			return;
	}
}

void
cell_each_worker(const struct cell *c,
    bool (*fn)(void *, const struct cell_worker *), void *arg)
{
	for (guint i = 0; i < c->workers->len; i++) {
		struct worker *w = g_ptr_array_index(c->workers, i);

		if (!fn(arg, &w->pub))
			return;
	}
}

/* Adapts a job callback to g_tree_foreach(). */
struct visitor {
	bool (*fn)(void *, const struct cell_job *);
	void *arg;
};

static gboolean
visit_job(gpointer key, gpointer value, gpointer data)
{
	struct visitor *v = data;
	struct job *j = value;

	return !v->fn(v->arg, &j->pub);
}

void
cell_each_job(const struct cell *c, bool (*fn)(void *, const struct cell_job *),
    void *arg)
{
	struct visitor v = { fn, arg };

	g_tree_foreach(c->jobs, visit_job, &v);
}

void
cell_each_attempt(const struct cell *c, uint32_t worker,
    bool (*fn)(void *, const struct cell_job *, uint32_t task), void *arg)
{
	struct worker *w = find_worker(c, worker);

	for (guint i = 0; w != NULL && i < w->attempts->len; i++) {
		struct attempt_ref *s =
		    &g_array_index(w->attempts, struct attempt_ref, i);

		if (!fn(arg, &find_job(c, s->job)->pub, s->task))
			return;
	}
}

uint64_t
cell_pending_jobs(const struct cell *c)
{
	return c->pending_jobs;
}

const char *
cell_task_state_name(enum cell_task_state state)
{
	g_assert(state <= TASK_UNKNOWN);
	return task_state_names[state];
}
