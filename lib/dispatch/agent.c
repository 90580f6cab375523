#include "agent.h"

static const char *const verdicts[] = {
	[AGENT_TAKEN] = "taken",
	[AGENT_FENCED] = "fenced",
	[AGENT_ENDED] = "ended",
	[AGENT_LATE] = "late",
	[AGENT_NO_ROOM] = "no-room",
	[AGENT_NO_PERMIT] = "no-permit",
	[AGENT_OTHER_LIFE] = "other-life",
	[AGENT_UNWELL] = "unwell",
	[AGENT_INVALID] = "invalid",
	[AGENT_UNCLEAR] = "no-answer",
};

static const char *const hows[] = {
	[AGENT_DONE] = "done",
	[AGENT_FAILED] = "failed",
	[AGENT_STOPPED] = "stopped",
	[AGENT_LAPSED] = "lapsed",
	[AGENT_BROKEN] = "gang-broken",
	[AGENT_ALONE] = "gang-incomplete",
};

const char *
agent_verdict_name(enum agent_verdict v)
{
	return verdicts[v];
}

const char *
agent_how_name(enum agent_how how)
{
	return hows[how];
}

static void
running_clear(void *arg)
{
	g_free(((struct agent_running *)arg)->saved);
}

static void
end_clear(void *arg)
{
	g_free(((struct agent_end *)arg)->saved);
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
	p->good = g_array_new(FALSE, TRUE, sizeof(struct agent_permit));
	g_array_set_clear_func(p->good, permit_clear);
}

void
agent_permits_clear(struct agent_permits *p)
{
	g_array_unref(p->good);
	*p = (struct agent_permits){ 0 };
}
