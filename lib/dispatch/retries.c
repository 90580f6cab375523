/*
 * Long-running tasks that end soon after their starts: when and where they are
 * started again. They are restarted without limit, so neither the load nor the
 * blame that workers get for them may grow with the number of attempts.
 */
#include "impl.h"

/* A run that has lasted for so long ends a series of early ends. */
#define SOUND_RUN_MS 10000
#define BACKOFF_MIN_MS 100 /* from the second early end on; doubles */
#define BACKOFF_MAX_MS 2000 /* a task has to be at work again within 6 s */

/* A task of a step that has had early ends. */
struct retry {
	uint32_t early_ends; /* in a row */
	int64_t due_ms; /* of the next start */
};

static struct retry *
retry_of(struct step_permits *s, uint32_t index)
{
	if (s->retries == NULL)
		s->retries = g_array_new(FALSE, TRUE, sizeof(struct retry));
	if (index >= s->retries->len)
		g_array_set_size(s->retries, index + 1);
	return &g_array_index(s->retries, struct retry, index);
}

static void
back_off(struct retry *retry, int64_t now)
{
	uint32_t doublings = MIN(retry->early_ends, 10);

	retry->due_ms = now;
	if (retry->early_ends > 0)
		retry->due_ms += MIN(
		    (int64_t)BACKOFF_MIN_MS << (doublings - 1), BACKOFF_MAX_MS);
	retry->early_ends++;
}

static gboolean
is_gone(gpointer worker, gpointer value, gpointer d)
{
	return holder_find(d, GPOINTER_TO_UINT(worker)) == NULL;
}

static void
add_failed_worker(struct dispatch *d, struct step_permits *s, uint32_t worker)
{
	if (s->failed_on == NULL)
		s->failed_on = g_hash_table_new(NULL, NULL);
	g_hash_table_add(s->failed_on, GUINT_TO_POINTER(worker));
	if (g_hash_table_size(s->failed_on) > g_hash_table_size(d->holders))
		g_hash_table_foreach_remove(s->failed_on, is_gone, d);
}

/* How much a failure says about its worker: nothing if the step has failed
 * there before. */
static double
failure_weight(const struct step_permits *s, uint32_t worker)
{
	if (s->failed_on == NULL)
		return plan_failure_weight(0);
	if (g_hash_table_contains(s->failed_on, GUINT_TO_POINTER(worker)))
		return 0;
	return plan_failure_weight(g_hash_table_size(s->failed_on));
}

double
retry_record_end(struct dispatch *d, const struct flow_job *job,
    const struct active_run *r, bool failed, int64_t now)
{
	struct step_permits *s =
	    step_permits_get(d, job, r->id.occurrence, r->id.step);
	struct retry *retry = retry_of(s, r->id.index);
	int64_t ran_ms = now - r->started_ms;
	double weight;

	if (ran_ms >= SOUND_RUN_MS) {
		g_clear_pointer(&s->failed_on, g_hash_table_unref);
		*retry = (struct retry){ 0 };
		return plan_failure_weight(0);
	}
	weight = failure_weight(s, r->holder->id);
	if (failed)
		add_failed_worker(d, s, r->holder->id);
	back_off(retry, now);
	log_info("dispatch",
	    "event=early-end run=%s worker=%s failed=%d "
	    "ran_ms=%" G_GINT64_FORMAT
	    " in_a_row=%u workers=%u weight=%.2f backoff_ms=%" G_GINT64_FORMAT,
	    run_name(&r->id), r->holder->name, failed, ran_ms,
	    retry->early_ends,
	    s->failed_on == NULL ? 0 : g_hash_table_size(s->failed_on),
	    failed ? weight : 0, retry->due_ms - now);
	return weight;
}

bool
retry_waits(const struct dispatch *d, const struct flow_job *job,
    uint32_t occurrence, uint32_t step, uint32_t index, int64_t now)
{
	const struct step_permits *s;

	if (!flow_job_step(job, step)->long_running)
		return false;
	s = step_permits_find(d, job, occurrence, step);
	return s != NULL && s->retries != NULL && index < s->retries->len &&
	    now < g_array_index(s->retries, struct retry, index).due_ms;
}

static GHashTable *
failed_workers(const struct round *rd, const struct pending_step *p)
{
	const struct step_permits *s =
	    step_permits_find(rd->d, p->job, p->occurrence->number, p->step);

	return s == NULL ? NULL : s->failed_on;
}

bool
retry_has_failed(const struct round *rd, const struct pending_step *p)
{
	return failed_workers(rd, p) != NULL;
}

bool
retry_has_failed_on(const struct round *rd, const struct pending_step *p,
    const struct holder *h)
{
	GHashTable *workers = failed_workers(rd, p);

	return workers != NULL &&
	    g_hash_table_contains(workers, GUINT_TO_POINTER(h->id));
}
