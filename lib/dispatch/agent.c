#include "agent.h"

static const char *const result_names[] = {
	[AGENT_ACCEPTED] = "taken",
	[AGENT_FENCED] = "fenced",
	[AGENT_ENDED] = "ended",
	[AGENT_ORDER_EXPIRED] = "late",
	[AGENT_NO_RESOURCES] = "no-room",
	[AGENT_NO_PERMIT] = "no-permit",
	[AGENT_OTHER_INCARNATION] = "other-life",
	[AGENT_UNHEALTHY] = "unwell",
	[AGENT_INVALID] = "invalid",
	[AGENT_UNREACHABLE] = "not-sent",
	[AGENT_UNKNOWN] = "no-answer",
};

static const char *const outcome_names[] = {
	[AGENT_DONE] = "done",
	[AGENT_FAILED] = "failed",
	[AGENT_STOPPED] = "stopped",
	[AGENT_LEASE_EXPIRED] = "lapsed",
	[AGENT_GANG_BROKEN] = "gang-broken",
	[AGENT_GANG_INCOMPLETE] = "gang-incomplete",
};

const char *
agent_result_name(enum agent_result result)
{
	return result_names[result];
}

const char *
agent_outcome_name(enum agent_outcome outcome)
{
	return outcome_names[outcome];
}

static void
running_clear(void *arg)
{
	g_free(((struct agent_running *)arg)->checkpoint);
}

static void
end_clear(void *arg)
{
	g_free(((struct agent_end *)arg)->checkpoint);
}

static void
permit_clear(void *arg)
{
	struct agent_permit *p = arg;

	g_free(p->worker);
	g_free(p->permit);
}

void
agent_report_init(struct agent_report *r)
{
	*r = (struct agent_report){ 0 };
	r->running = g_array_new(FALSE, TRUE, sizeof(struct agent_running));
	g_array_set_clear_func(r->running, running_clear);
	r->ends = g_array_new(FALSE, TRUE, sizeof(struct agent_end));
	g_array_set_clear_func(r->ends, end_clear);
}

void
agent_report_clear(struct agent_report *r)
{
	g_array_unref(r->running);
	g_array_unref(r->ends);
	*r = (struct agent_report){ 0 };
}

void
agent_permits_init(struct agent_permits *p)
{
	*p = (struct agent_permits){ 0 };
	p->allowed = g_array_new(FALSE, TRUE, sizeof(struct agent_permit));
	g_array_set_clear_func(p->allowed, permit_clear);
}

void
agent_permits_clear(struct agent_permits *p)
{
	g_array_unref(p->allowed);
	*p = (struct agent_permits){ 0 };
}
