/* The steps that wait: what is ready to start and isn't about to. */
#include <string.h>

#include "impl.h"

bool
task_waits(const struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step, uint32_t index)
{
	const struct flow_task *task = &occurrence->steps[step].tasks[index];
	struct flow_run id = { job->id, occurrence->number, step, index, 0 };

	return task->state == FLOW_PENDING &&
	    !apart_holds_back(rd, flow_job_step(job, step), task) &&
	    !retry_waits(
		rd->d, job, occurrence->number, step, index, rd->now) &&
	    run_find(rd->d, &id) == NULL;
}

/* A gang starts once no member of its last run is left and none is held back.
 * Its starts are proposed together: one member stands for all. */
static bool
gang_waits(const struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step)
{
	const struct flow_step_state *st = &occurrence->steps[step];

	if (st->pending < st->count ||
	    !task_waits(rd, job, occurrence, step, 0))
		return false;
	for (uint32_t i = 0; i < st->count; i++)
		if (apart_holds_back(
			rd, flow_job_step(job, step), &st->tasks[i]) ||
		    retry_waits(
			rd->d, job, occurrence->number, step, i, rd->now))
			return false;
	return true;
}

struct pending_step
pending_step_of(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step,
    const struct plan_pending *urgency)
{
	const struct flow_step *s = flow_job_step(job, step);
	struct pending_step p = { .plan = *urgency,
		.job = job,
		.occurrence = occurrence,
		.step = step,
		.organisation = organisation_in_round(rd, job) };

	p.plan.best_effort = s->best_effort;
	p.plan.long_running = s->long_running;
	p.plan.serial = rd->serial++;
	return p;
}

static void
add_pending_step(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step,
    const struct plan_pending *urgency)
{
	const struct flow_step_state *st = &occurrence->steps[step];
	const struct flow_step *s = flow_job_step(job, step);
	struct pending_step p;

	if (st->pending == 0 || !flow_step_ready(job, occurrence, step))
		return;
	if (s->gang && !gang_waits(rd, job, occurrence, step))
		return;
	p = pending_step_of(rd, job, occurrence, step, urgency);
	g_array_append_val(rd->pending, p);
}

static bool
has_pending_step(
    const struct flow_job *job, const struct flow_occurrence *occurrence)
{
	for (guint s = 0; s < job->spec.steps->len; s++)
		if (occurrence->steps[s].pending > 0 &&
		    flow_step_ready(job, occurrence, s))
			return true;
	return false;
}

static void
add_steps_of_job(void *arg, const struct flow_job *job)
{
	struct round *rd = arg;

	for (guint i = 0; i < job->occurrences->len; i++) {
		const struct flow_occurrence *occurrence =
		    job->occurrences->pdata[i];
		struct plan_pending urgency;

		if (occurrence->due_ms > rd->cell_now)
			continue;
		ahead_add_steps(rd, job, occurrence);
		if (!has_pending_step(job, occurrence))
			continue;
		urgency = estimate_urgency(rd->d, job, occurrence);
		for (guint s = 0; s < job->spec.steps->len; s++)
			add_pending_step(rd, job, occurrence, s, &urgency);
	}
}

uint32_t
count_waiting(const struct round *rd, const struct pending_step *p,
    uint32_t count[SEPARATE_ALL + 1])
{
	enum separation most = SEPARATE_ISOLATED;
	uint32_t sum = 0;

	for (uint32_t i = 0; i < p->occurrence->steps[p->step].count; i++) {
		enum separation wanted;

		if (!task_waits(rd, p->job, p->occurrence, p->step, i))
			continue;
		wanted = apart_wanted(&p->occurrence->steps[p->step].tasks[i]);
		most = MAX(most, wanted);
		count[wanted]++;
		sum++;
	}
	if (flow_job_step(p->job, p->step)->gang) {
		memset(count, 0, sizeof(uint32_t) * (SEPARATE_ALL + 1));
		count[most] = sum;
	}
	return sum;
}

void
pending_collect(struct round *rd)
{
	flow_each_active_job(rd->d->conf.flow, add_steps_of_job, rd);
}
