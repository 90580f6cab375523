/*
 * Snapshots: the whole state as one msgpack array, in id order throughout.
 * Sums, counts and queues are not stored but computed when it is restored.
 */
#include "internal.h"

#define TASK_FIELDS 11 /* written by put_task() */
#define TASK_FIELDS_OLD 10 /* without the crash score, by earlier builds */

#define SNAPSHOT_FORMAT 1
#define SNAPSHOT_FIELDS 13

static void
put_history(msgpack_packer *pk, const GArray *history)
{
	msgpack_pack_array(pk, 3 * (size_t)history->len);
	for (guint i = 0; i < history->len; i++) {
		struct version *v = &g_array_index(history, struct version, i);

		msgpack_pack_uint64(pk, v->version);
		put_str(pk, v->digest);
		put_str(pk, v->author);
	}
}

static void
put_entries(msgpack_packer *pk, const GPtrArray *entries)
{
	msgpack_pack_array(pk, entries->len);
	for (guint i = 0; i < entries->len; i++) {
		struct cell_entry *e = g_ptr_array_index(entries, i);

		if (e == NULL) {
			msgpack_pack_array(pk, 0);
			continue;
		}
		msgpack_pack_array(pk, 5);
		entry_put(pk, e);
	}
}

static void
put_lost(msgpack_packer *pk, const GArray *lost)
{
	msgpack_pack_array(pk, 2 * (size_t)lost->len);
	for (guint i = 0; i < lost->len; i++) {
		const struct attempt_ref *a =
		    &g_array_index(lost, struct attempt_ref, i);

		msgpack_pack_uint64(pk, a->job);
		msgpack_pack_uint32(pk, a->task);
	}
}

static void
put_workers(msgpack_packer *pk, const GPtrArray *workers)
{
	msgpack_pack_array(pk, workers->len);
	for (guint i = 0; i < workers->len; i++) {
		struct worker *w = g_ptr_array_index(workers, i);

		msgpack_pack_array(pk, 17);
		worker_put(pk, &w->pub);
		msgpack_pack_uint32(pk, w->pub.state);
		put_bool(pk, w->pub.set_aside);
		msgpack_pack_uint64(pk, w->pub.epoch);
		put_bool(pk, w->over_capacity);
		msgpack_pack_array(pk, w->earlier->len);
		for (guint k = 0; k < w->earlier->len; k++)
			msgpack_pack_uint64(
			    pk, g_array_index(w->earlier, uint64_t, k));
		put_lost(pk, w->lost);
	}
}

static void
put_task(msgpack_packer *pk, const struct cell_task *t)
{
	msgpack_pack_uint32(pk, t->state);
	msgpack_pack_uint32(pk, t->attempt);
	msgpack_pack_uint32(pk, t->failures);
	msgpack_pack_uint32(pk, t->worker);
	put_bool(pk, t->ran);
	put_bool(pk, t->lost);
	msgpack_pack_uint32(pk, t->crash_score);
	put_bytes(pk, t->result);
	msgpack_pack_int64(pk, t->started_ms);
	msgpack_pack_int64(pk, t->ended_ms);
	msgpack_pack_int64(pk, t->lease_ms);
}

static gboolean
put_job(gpointer id, gpointer value, gpointer data)
{
	msgpack_packer *pk = data;
	struct job *j = value;

	msgpack_pack_array(pk, 13);
	msgpack_pack_uint64(pk, j->pub.id);
	spec_put(pk, &j->pub.spec);
	msgpack_pack_uint32(pk, j->pub.state);
	msgpack_pack_uint32(pk, j->pub.outcome);
	put_bool(pk, j->pub.cancelled);
	put_bool(pk, j->pub.from_config);
	put_bool(pk, j->pub.gang_stopping);
	put_bool(pk, j->expired);
	msgpack_pack_uint32(pk, j->pub.desired_tasks);
	msgpack_pack_uint64(pk, j->replaces);
	msgpack_pack_int64(pk, j->pub.submitted_ms);
	msgpack_pack_int64(pk, j->pub.ended_ms);
	msgpack_pack_array(pk, TASK_FIELDS * (size_t)j->pub.spec.tasks);
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++)
		put_task(pk, &j->pub.task[i]);
	return FALSE;
}

static int
compare_keys(gconstpointer a, gconstpointer b)
{
	const struct idempotency_key *x =
	    *(const struct idempotency_key *const *)a;
	const struct idempotency_key *y =
	    *(const struct idempotency_key *const *)b;

	return (x->job > y->job) - (x->job < y->job);
}

static void
put_keys(msgpack_packer *pk, GHashTable *keys)
{
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer k;

	g_hash_table_iter_init(&iter, keys);
	while (g_hash_table_iter_next(&iter, &k, NULL))
		g_ptr_array_add(sorted, k);
	g_ptr_array_sort(sorted, compare_keys);
	msgpack_pack_array(pk, 5 * (size_t)sorted->len);
	for (guint i = 0; i < sorted->len; i++) {
		struct idempotency_key *key = g_ptr_array_index(sorted, i);

		put_str(pk, key->team);
		put_str(pk, key->key);
		put_raw(pk, key->digest, CELL_DIGEST_LEN);
		msgpack_pack_uint64(pk, key->job);
		msgpack_pack_int64(pk, key->ended_ms);
	}
	g_ptr_array_unref(sorted);
}

GBytes *
cell_snapshot(const struct cell *c)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, SNAPSHOT_FIELDS);
	msgpack_pack_uint32(&pk, SNAPSHOT_FORMAT);
	msgpack_pack_int64(&pk, c->time_ms);
	msgpack_pack_uint64(&pk, c->last_epoch);
	msgpack_pack_uint64(&pk, c->last_job);
	msgpack_pack_uint64(&pk, c->config_version);
	put_str(&pk, c->base);
	overlays_put(&pk, c->overlays);
	put_history(&pk, c->history);
	put_entries(&pk, c->entries);
	put_workers(&pk, c->workers);
	msgpack_pack_array(&pk, g_tree_nnodes(c->jobs));
	g_tree_foreach(c->jobs, put_job, &pk);
	put_keys(&pk, c->keys);
	/* Keys can outlive their jobs, so their number is stored as a check. */
	msgpack_pack_uint64(&pk, g_hash_table_size(c->keys));
	return codec_take_buffer(&buf);
}

static void
get_history(struct reader *r, GArray *history)
{
	struct reader in = get_array(r);

	while (in.ok && in.left > 0) {
		struct version v = { .version = get_u64(&in) };

		v.digest = get_str(&in, CELL_NAME_MAX);
		v.author = get_str(&in, CELL_NAME_MAX);
		g_array_append_val(history, v);
		in.ok = in.ok && v.digest != NULL && v.author != NULL;
	}
	r->ok = r->ok && in.ok;
}

static void
get_entries(struct reader *r, struct cell *c)
{
	struct reader all = get_array(r);

	while (all.ok && all.left > 0) {
		struct reader in = get_array(&all);
		struct cell_entry *e = NULL;

		if (in.left > 0) {
			e = g_new0(struct cell_entry, 1);
			entry_get(&in, e);
			e->id = c->entries->len + 1;
		}
		g_ptr_array_add(c->entries, e);
		all.ok = all.ok && codec_done(&in);
	}
	r->ok = r->ok && all.ok;
}

/* Snapshots of earlier builds have no such list. */
static void
get_earlier(struct reader *in, struct worker *w)
{
	struct reader list;

	if (in->left == 0)
		return;
	list = get_array(in);
	while (list.ok && list.left > 0 &&
	    w->earlier->len < EARLIER_INCARNATIONS_MAX) {
		uint64_t incarnation = get_u64(&list);

		g_array_append_val(w->earlier, incarnation);
	}
	in->ok = in->ok && codec_done(&list);
}

/* Snapshots of earlier builds have no such list either. */
static void
get_lost(struct reader *in, struct worker *w)
{
	struct reader list;

	if (in->left == 0)
		return;
	list = get_array(in);
	while (list.ok && list.left > 0) {
		struct attempt_ref a = { .job = get_u64(&list) };

		a.task = (uint32_t)get_below(&list, CELL_TASKS_MAX);
		g_array_append_val(w->lost, a);
	}
	in->ok = in->ok && codec_done(&list);
}

static void
get_workers(struct reader *r, struct cell *c)
{
	struct reader all = get_array(r);

	while (all.ok && all.left > 0) {
		struct reader in = get_array(&all);
		struct worker *w = worker_new();

		worker_get(&in, &w->pub);
		w->pub.state = get_below(&in, WORKER_LOST + 1);
		w->pub.set_aside = get_bool(&in);
		w->pub.epoch = get_u64(&in);
		w->over_capacity = get_bool(&in);
		get_earlier(&in, w);
		get_lost(&in, w);
		all.ok = all.ok && codec_done(&in) &&
		    !g_hash_table_contains(c->worker_names, w->pub.name);
		if (w->pub.name == NULL)
			w->pub.name = g_strdup("");
		add_worker(c, w);
	}
	r->ok = r->ok && all.ok;
}

static void
get_task(struct reader *r, struct cell_task *t, bool has_score)
{
	t->state = get_below(r, TASK_UNKNOWN + 1);
	t->attempt = (uint32_t)get_below(r, (uint64_t)UINT32_MAX + 1);
	t->failures = (uint32_t)get_below(r, (uint64_t)UINT32_MAX + 1);
	t->worker = (uint32_t)get_below(r, (uint64_t)UINT32_MAX + 1);
	t->ran = get_bool(r);
	t->lost = get_bool(r);
	if (has_score)
		t->crash_score = (uint32_t)get_u64(r);
	t->result = get_bytes(r, CELL_RESULT_MAX);
	t->started_ms = get_i64(r);
	t->ended_ms = get_i64(r);
	t->lease_ms = get_i64(r);
}

/* Adds a task to the counts and its worker; false if there is no worker. */
static bool
restore_attempt(struct cell *c, struct job *j, uint32_t i)
{
	const struct cell_task *t = &j->pub.task[i];
	struct worker *w;

	if (t->state == TASK_PENDING)
		j->pending++;
	if (!task_is_running(t->state))
		return true;
	j->running++;
	w = find_worker(c, t->worker);
	if (w == NULL)
		return false;
	worker_add_attempt(w, j, i);
	return true;
}

static void
get_job_tasks(struct reader *r, struct cell *c, struct job *j)
{
	struct reader in = get_array(r);
	uint32_t n = j->pub.spec.tasks;
	bool has_score = in.left != TASK_FIELDS_OLD * (uint64_t)n;

	j->pub.task = g_new0(struct cell_task, n);
	for (uint32_t i = 0; i < n && in.ok; i++) {
		get_task(&in, &j->pub.task[i], has_score);
		in.ok = in.ok && restore_attempt(c, j, i);
	}
	r->ok = r->ok && codec_done(&in);
	j->pub.active_tasks = j->pending + j->running;
	c->pending_jobs += j->pending > 0;
}

static void
get_job(struct reader *r, struct cell *c)
{
	struct reader in = get_array(r);
	struct job *j = g_new0(struct job, 1);

	j->pub.id = get_u64(&in);
	spec_get(&in, &j->pub.spec);
	j->pub.state = get_below(&in, JOB_ENDED + 1);
	j->pub.outcome = get_below(&in, OUT_COUNT);
	j->pub.cancelled = get_bool(&in);
	j->pub.from_config = get_bool(&in);
	j->pub.gang_stopping = get_bool(&in);
	j->expired = get_bool(&in);
	j->pub.desired_tasks = get_below(&in, CELL_TASKS_MAX + 1);
	j->replaces = get_u64(&in);
	j->pub.submitted_ms = get_i64(&in);
	j->pub.ended_ms = get_i64(&in);
	get_job_tasks(&in, c, j);
	r->ok = r->ok && codec_done(&in) && find_job(c, j->pub.id) == NULL &&
	    j->pub.id <= c->last_job;
	if (find_job(c, j->pub.id) != NULL) {
		job_free(j);
		return;
	}
	add_job(c, j);
	if (j->pub.state == JOB_ENDED)
		g_queue_push_tail(&c->ended_jobs, j);
}

static void
get_jobs(struct reader *r, struct cell *c)
{
	struct reader all = get_array(r);

	while (all.ok && all.left > 0)
		get_job(&all, c);
	r->ok = r->ok && all.ok;
}

static void
get_keys(struct reader *r, struct cell *c)
{
	struct reader in = get_array(r);

	while (in.ok && in.left > 0) {
		struct idempotency_key *k = g_new0(struct idempotency_key, 1);

		k->team = get_str(&in, CELL_NAME_MAX);
		k->key = get_str(&in, CELL_KEY_MAX);
		get_raw(&in, k->digest, CELL_DIGEST_LEN);
		k->job = get_u64(&in);
		k->ended_ms = get_i64(&in);
		in.ok = in.ok && k->team != NULL && k->key != NULL &&
		    !g_hash_table_contains(c->keys, k);
		if (!in.ok) {
			idempotency_key_free(k);
			break;
		}
		add_idempotency_key(c, k);
		if (k->ended_ms >= 0)
			g_queue_push_tail(&c->ended_keys, k);
	}
	r->ok = r->ok && in.ok;
}

static gint
compare_job_ends(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct job *x = a;
	const struct job *y = b;

	return (x->pub.ended_ms > y->pub.ended_ms) -
	    (x->pub.ended_ms < y->pub.ended_ms);
}

static gint
compare_key_ends(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct idempotency_key *x = a;
	const struct idempotency_key *y = b;

	return (x->ended_ms > y->ended_ms) - (x->ended_ms < y->ended_ms);
}

/* Parses the configuration again from its texts. */
static bool
restore_config(struct cell *c)
{
	struct config *config;

	if (c->config_version == 0)
		return c->base == NULL && c->history->len == 0;
	if (c->base == NULL || c->history->len == 0)
		return false;
	config = parse_config_texts(c->base, c->overlays, NULL, NULL);
	if (config == NULL)
		return false;
	config_unref(c->config);
	c->config = config;
	return true;
}

static bool
read_snapshot(struct reader *r, struct cell *c)
{
	if (get_u64(r) != SNAPSHOT_FORMAT)
		return false;
	c->time_ms = get_i64(r);
	c->last_epoch = get_u64(r);
	c->last_job = get_u64(r);
	c->config_version = get_u64(r);
	c->base = get_str(r, CODEC_NO_LIMIT);
	g_array_unref(c->overlays);
	c->overlays = overlays_get(r);
	get_history(r, c->history);
	get_entries(r, c);
	get_workers(r, c);
	get_jobs(r, c);
	get_keys(r, c);
	if (get_u64(r) != g_hash_table_size(c->keys) || !codec_done(r))
		return false;
	g_queue_sort(&c->ended_jobs, compare_job_ends, NULL);
	g_queue_sort(&c->ended_keys, compare_key_ends, NULL);
	return restore_config(c);
}

bool
cell_restore(struct cell *c, GBytes *data, GError **err)
{
	struct cell *restored = cell_new();
	struct cell old = *c;
	msgpack_unpacked u;
	struct reader r;
	gsize len;
	const void *bytes = g_bytes_get_data(data, &len);
	bool ok;

	codec_open(&u, bytes, len, &r);
	ok = read_snapshot(&r, restored);
	codec_close(&u);
	if (!ok)
		g_set_error(err, BT_ERROR, ERR_CORRUPT,
		    "cell: malformed snapshot of %zu bytes", (size_t)len);
	if (!ok || !cell_check(restored, err)) {
		cell_free(restored);
		return false;
	}
	*c = *restored;
	c->watch = old.watch;
	c->watch_arg = old.watch_arg;
	*restored = old;
	cell_free(restored);
	return true;
}
