/* The speeds of workers, learnt from the runs that end there. */
#include "internal.h"

/* Speeds and queues without samples for this time are dropped, also after
 * learning was switched off. */
#define SPEED_KEEP_MS (60 * 60 * 1000)

/* Says whether the run time of a run tells how fast its worker is. A resumed
 * run takes only part of the run time, and best-effort tasks run on what others
 * leave. */
static bool
is_sample(const struct flow_step *step, const struct flow_run *run)
{
	return !step->long_running && !step->best_effort &&
	    !(step->checkpointing && run->number > 1);
}

/* The slowdown of the slowest worker that runs a member of a gang. */
static int64_t
gang_slowdown(const struct flow *f, const struct flow_step_state *st)
{
	int64_t slowest = INT64_MIN;

	for (uint32_t i = 0; i < st->count; i++) {
		const struct flow_worker *w =
		    flow_worker(f, st->tasks[i].worker);

		if (w != NULL)
			slowest = MAX(
			    slowest, speed_of(f->speeds, w->address).slowdown);
	}
	return slowest;
}

void
speeds_learn(struct flow *f, const struct flow_job *job,
    struct flow_step_state *st, const struct flow_run *run)
{
	const struct flow_step *step = flow_job_step(job, run->step);
	const struct flow_task *task = &st->tasks[run->index];
	const struct flow_worker *w = flow_worker(f, task->worker);
	struct speed_run sample = { .queue = job->queue->name,
		.declared_ms = step->runtime_ms,
		.ran_ms = f->time_ms - task->assigned_ms,
		.at_ms = f->time_ms };

	if (w == NULL || !is_sample(step, run))
		return;
	sample.address = w->address;
	/* The members of a gang end together: that says nothing of a worker. */
	if (step->gang && step->count > 1)
		speed_add_gang(f->speeds, &sample, gang_slowdown(f, st));
	else
		speed_update(f->speeds, &sample, &st->peers);
}

void
speeds_prune(struct flow *f)
{
	speed_prune(f->speeds, f->time_ms - SPEED_KEEP_MS);
}

/* Calls fn for each step of unfinished occurrences that has peers. */
static void
each_peers(const struct flow *f,
    void (*fn)(void *arg, const struct flow_run *step,
	const struct speed_peers *peers),
    void *arg)
{
	for (GList *i = f->active.head; i != NULL; i = i->next) {
		const struct flow_job *job = i->data;

		for (guint k = 0; k < job->occurrences->len; k++) {
			const struct flow_occurrence *occ =
			    job->occurrences->pdata[k];
			struct flow_run id = { .job = job->id,
				.occurrence = occ->number };

			for (; id.step < job->spec.steps->len; id.step++)
				if (occ->steps[id.step].peers.count > 0)
					fn(arg, &id,
					    &occ->steps[id.step].peers);
		}
	}
}

static void
count_peers(
    void *arg, const struct flow_run *step, const struct speed_peers *peers)
{
	(*(uint32_t *)arg)++;
}

static void
put_peers(
    void *arg, const struct flow_run *step, const struct speed_peers *peers)
{
	msgpack_packer *pk = arg;

	run_put(pk, step);
	msgpack_pack_int64(pk, peers->sum);
	msgpack_pack_uint32(pk, peers->count);
}

bool
speeds_any(const struct flow *f)
{
	uint32_t count = 0;

	each_peers(f, count_peers, &count);
	return count > 0 || !speed_is_empty(f->speeds);
}

void
speeds_put(msgpack_packer *pk, const struct flow *f)
{
	uint32_t count = 0;

	msgpack_pack_array(pk, SPEED_FIELDS + 1);
	speed_put(pk, f->speeds);
	each_peers(f, count_peers, &count);
	msgpack_pack_array(pk, count * 7);
	each_peers(f, put_peers, pk);
}

static struct speed_peers *
peers_of(struct flow *f, const struct flow_run *step)
{
	const struct flow_job *job = flow_job(f, step->job);
	const struct flow_occurrence *occ =
	    job == NULL ? NULL : flow_occurrence(job, step->occurrence);

	return occ == NULL || step->step >= job->spec.steps->len
	    ? NULL
	    : &occ->steps[step->step].peers;
}

void
speeds_get(struct flow *f, struct reader *r)
{
	struct reader a = get_array(r);
	struct reader list;

	speed_get(&a, f->speeds);
	list = get_array(&a);
	while (list.ok && list.left > 0) {
		struct flow_run step;
		struct speed_peers *peers;

		run_get(&list, &step);
		peers = peers_of(f, &step);
		if (peers == NULL) {
			list.ok = false;
			break;
		}
		peers->sum = get_i64(&list);
		peers->count = (uint32_t)get_u64(&list);
	}
	r->ok = r->ok && list.ok && codec_done(&a);
}
