/* Snapshots of the state as one msgpack array, and the consistency check. */
#include "internal.h"

/* Of earlier versions; without speeds also of this one. */
enum snapshot_format {
	SNAPSHOT_FORMAT_NO_LOSSES = 1,
	SNAPSHOT_FORMAT_NO_SPEEDS,
	SNAPSHOT_FORMAT
};

static void
step_state_put(msgpack_packer *pk, const struct flow_step_state *st)
{
	msgpack_pack_uint32(pk, st->last_failed_run);
	msgpack_pack_array(pk, st->count);
	for (uint32_t i = 0; i < st->count; i++) {
		const struct flow_task *t = &st->tasks[i];

		msgpack_pack_array(pk, 6);
		msgpack_pack_uint8(pk, (uint8_t)t->state);
		msgpack_pack_uint32(pk, t->last_run);
		msgpack_pack_uint32(pk, t->failures);
		msgpack_pack_uint32(pk, t->worker);
		msgpack_pack_int64(pk, t->assigned_ms);
		put_str(pk, t->checkpoint);
	}
}

static void
step_state_get(struct reader *r, struct flow_step_state *st)
{
	uint32_t failed_run = (uint32_t)get_u64(r);
	struct reader a = get_array(r);

	st->last_failed_run = failed_run;
	r->ok = r->ok && a.ok && a.left == st->count;
	st->pending = 0;
	for (uint32_t i = 0; r->ok && i < st->count; i++) {
		struct flow_task *t = &st->tasks[i];
		struct reader row = get_array(&a);

		t->state = (enum flow_task_state)get_below(&row, FLOW_DONE + 1);
		t->last_run = (uint32_t)get_u64(&row);
		t->failures = (uint32_t)get_u64(&row);
		t->worker = (uint32_t)get_u64(&row);
		t->assigned_ms = get_i64(&row);
		t->checkpoint = get_str(&row, FLOW_CHECKPOINT_MAX);
		r->ok = codec_done(&row);
		st->pending += t->state == FLOW_PENDING;
		st->assigned += t->state == FLOW_ASSIGNED;
		st->done += t->state == FLOW_DONE;
	}
}

static void
job_put(msgpack_packer *pk, const struct flow_job *job)
{
	guint steps = job->occurrences == NULL ? 0 : job->spec.steps->len;
	guint occurrences =
	    job->occurrences == NULL ? 0 : job->occurrences->len;

	/* Without an organisation as earlier versions wrote it. */
	msgpack_pack_array(pk, job->organisation == NULL ? 9 : 10);
	msgpack_pack_uint64(pk, job->id);
	msgpack_pack_uint8(pk, (uint8_t)job->state);
	queue_put(pk, job->queue);
	msgpack_pack_int64(pk, job->accepted_ms);
	msgpack_pack_int64(pk, job->ended_ms);
	msgpack_pack_uint32(pk, job->occurrences_created);
	msgpack_pack_uint32(pk, job->occurrences_done);
	if (job->occurrences == NULL)
		msgpack_pack_nil(pk);
	else
		spec_put(pk, &job->spec);
	msgpack_pack_array(pk, occurrences * (1 + 2 * steps));
	for (guint i = 0; i < occurrences; i++) {
		const struct flow_occurrence *occ = job->occurrences->pdata[i];

		msgpack_pack_uint32(pk, occ->number);
		for (guint s = 0; s < steps; s++)
			step_state_put(pk, &occ->steps[s]);
	}
	if (job->organisation != NULL)
		put_str(pk, job->organisation);
}

static void
occurrences_get(struct reader *r, struct flow_job *job)
{
	struct reader a = get_array(r);

	while (a.ok && a.left > 0) {
		struct flow_occurrence *occ =
		    occurrence_new(job, (uint32_t)get_u64(&a));

		g_ptr_array_add(job->occurrences, occ);
		for (guint s = 0; s < job->spec.steps->len; s++) {
			struct flow_step_state *st = &occ->steps[s];

			step_state_get(&a, st);
			occ->unfinished_steps -= st->done == st->count;
			occ->assigned += st->assigned;
		}
		job->assigned += occ->assigned;
	}
	r->ok = r->ok && a.ok;
}

static void
job_get(struct flow *f, struct reader *r)
{
	struct reader a = get_array(r);
	struct flow_job *job = g_new0(struct flow_job, 1);

	job->id = get_u64(&a);
	job->state = (enum flow_job_state)get_below(&a, FLOW_CANCELLED + 1);
	job->queue = queue_get(&a);
	job->accepted_ms = get_i64(&a);
	job->ended_ms = get_i64(&a);
	job->occurrences_created = (uint32_t)get_u64(&a);
	job->occurrences_done = (uint32_t)get_u64(&a);
	if (a.ok && a.left > 0 && a.p->type != MSGPACK_OBJECT_NIL) {
		spec_get(&a, &job->spec);
		job->occurrences = g_ptr_array_new();
		if (a.ok)
			occurrences_get(&a, job);
	} else {
		(void)get_str(&a, 0);
		(void)get_array(&a);
	}
	if (a.left > 0)
		job->organisation = get_str(&a, FLOW_TEXT_MAX);
	r->ok = r->ok && codec_done(&a);
	if (!r->ok) {
		job_free(job);
		return;
	}
	g_hash_table_insert(f->jobs, &job->id, job);
	g_queue_push_tail(
	    job->occurrences == NULL ? &f->ended : &f->active, job);
	if (job->state == FLOW_QUEUED)
		queued_add(f, job->queue->name, 1);
}

static void
put_job_row(void *data, void *arg)
{
	job_put(arg, data);
}

/* In the order of their ids, so that equal states give equal bytes. */
static void
put_workers(msgpack_packer *pk, const struct flow *f)
{
	GList *workers =
	    g_list_sort(g_hash_table_get_values(f->workers), worker_compare);

	msgpack_pack_array(pk, g_hash_table_size(f->workers));
	for (GList *i = workers; i != NULL; i = i->next)
		worker_put(pk, i->data);
	g_list_free(workers);
}

GBytes *
flow_snapshot(const struct flow *f)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	bool speeds = speeds_any(f);

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, speeds ? 8 : 7);
	msgpack_pack_uint32(
	    &pk, speeds ? SNAPSHOT_FORMAT : SNAPSHOT_FORMAT_NO_SPEEDS);
	msgpack_pack_int64(&pk, f->time_ms);
	msgpack_pack_uint32(&pk, f->last_worker_id);
	config_put(&pk, &f->config);
	put_workers(&pk, f);
	msgpack_pack_array(&pk, f->ended.length + f->active.length);
	g_queue_foreach((GQueue *)&f->ended, put_job_row, &pk);
	g_queue_foreach((GQueue *)&f->active, put_job_row, &pk);
	losses_put(&pk, f);
	if (speeds)
		speeds_put(&pk, f);
	return codec_take_buffer(&buf);
}

/* Adds a worker; its name stands for the newest incarnation. */
static void
restore_worker(struct flow *f, struct flow_worker *w)
{
	struct flow_worker *known =
	    g_hash_table_lookup(f->workers_by_name, w->name);

	worker_add(f, w);
	if (known != NULL && known->id > w->id)
		g_hash_table_replace(f->workers_by_name, known->name, known);
}

static void
restore(struct flow *f, struct reader *r)
{
	struct reader list;
	uint64_t format = get_u64(r);

	r->ok = r->ok && format >= SNAPSHOT_FORMAT_NO_LOSSES &&
	    format <= SNAPSHOT_FORMAT;
	f->time_ms = get_i64(r);
	f->last_worker_id = (uint32_t)get_u64(r);
	config_get(r, &f->config);
	if (r->ok)
		config_index(f);
	list = get_array(r);
	while (list.ok && list.left > 0) {
		struct flow_worker *w = g_new0(struct flow_worker, 1);

		worker_get(&list, w);
		if (list.ok) {
			restore_worker(f, w);
		} else {
			flow_worker_clear(w);
			g_free(w);
		}
	}
	r->ok = r->ok && list.ok;
	list = get_array(r);
	while (list.ok && list.left > 0)
		job_get(f, &list);
	r->ok = r->ok && list.ok;
	if (format > SNAPSHOT_FORMAT_NO_LOSSES)
		losses_get(f, r);
	if (format > SNAPSHOT_FORMAT_NO_SPEEDS)
		speeds_get(f, r);
}

bool
flow_restore(struct flow *f, GBytes *data, GError **err)
{
	msgpack_unpacked u;
	struct reader r;
	gsize len;
	const void *p = g_bytes_get_data(data, &len);
	bool ok = codec_open(&u, p, len, &r);

	flow_clear(f);
	if (ok) {
		restore(f, &r);
		ok = codec_done(&r);
	}
	codec_close(&u);
	if (!ok)
		g_set_error_literal(err, BT_ERROR, ERR_CORRUPT,
		    "malformed snapshot of the job state");
	return ok;
}

static bool
check_failed(GError **err, const struct flow_job *job, const char *what)
{
	g_set_error(err, BT_ERROR, ERR_INVALID,
	    "job %016" G_GINT64_MODIFIER "x: %s", job->id, what);
	return false;
}

static bool
check_step(const struct flow *f, const struct flow_job *job,
    const struct flow_step_state *st, bool gang, GError **err)
{
	uint32_t count[3] = { 0 };

	for (uint32_t i = 0; i < st->count; i++) {
		count[st->tasks[i].state]++;
		if ((st->tasks[i].state == FLOW_ASSIGNED) !=
		    (st->tasks[i].worker != 0))
			return check_failed(err, job,
			    "a task's worker does not match its state");
	}
	if (count[FLOW_PENDING] != st->pending ||
	    count[FLOW_ASSIGNED] != st->assigned ||
	    count[FLOW_DONE] != st->done)
		return check_failed(
		    err, job, "a step's counts do not match its tasks");
	/* A gang starts only as a whole: a remaining part would never start. */
	if (gang && st->assigned == 0 && st->done > 0 && st->pending > 0)
		return check_failed(err, job, "only a part of a gang is done");
	return true;
}

static bool
check_losses(const struct flow *f, const struct flow_job *job,
    const struct flow_occurrence *occ, uint32_t step, GError **err)
{
	for (uint32_t i = 0; i < occ->steps[step].count; i++) {
		const struct flow_task *t = &occ->steps[step].tasks[i];
		struct flow_run run = { job->id, occ->number, step, i, 0 };

		if (t->crashes != losses_count(f, &run, LOSS_CRASHED) ||
		    t->explained_crashes !=
			losses_count(f, &run, LOSS_EXPLAINED) ||
		    t->lost_runs != losses_count(f, &run, LOSS_UNKNOWN))
			return check_failed(
			    err, job, "the crash counts of a task are wrong");
	}
	return true;
}

static bool
check_job(const struct flow *f, const struct flow_job *job, GError **err)
{
	uint32_t assigned = 0;

	for (guint i = 0; job->occurrences != NULL && i < job->occurrences->len;
	     i++) {
		const struct flow_occurrence *occ = job->occurrences->pdata[i];
		uint32_t unfinished = 0;
		uint32_t in_occurrence = 0;

		for (guint s = 0; s < job->spec.steps->len; s++) {
			if (!check_step(f, job, &occ->steps[s],
				flow_job_step(job, s)->gang, err) ||
			    !check_losses(f, job, occ, s, err))
				return false;
			unfinished += occ->steps[s].done < occ->steps[s].count;
			in_occurrence += occ->steps[s].assigned;
		}
		if (unfinished != occ->unfinished_steps ||
		    in_occurrence != occ->assigned)
			return check_failed(err, job,
			    "an occurrence's counts do not match its steps");
		assigned += in_occurrence;
	}
	if (assigned != job->assigned)
		return check_failed(
		    err, job, "the count of assigned tasks is wrong");
	return true;
}

bool
flow_check(const struct flow *f, GError **err)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!check_job(f, value, err))
			return false;
	return true;
}
