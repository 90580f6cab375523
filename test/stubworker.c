#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proc.h"
#include "stubworker.h"

static bool
same_task(const struct flow_run *a, const struct flow_run *b)
{
	return a->job == b->job && a->occurrence == b->occurrence &&
	    a->step == b->step && a->index == b->index;
}

static char *
run_text(const struct flow_run *of)
{
	return g_strdup_printf("%" PRIu64 " %u %u %u %u", of->job,
	    of->occurrence, of->step, of->index, of->number);
}

/* --- what the dispatcher writes and reads --- */

static char *
write_start(const struct agent_start *s)
{
	char *run = run_text(&s->of);
	char *out = g_strdup_printf(
	    "%s %" PRIu64 " %" PRIi64, run, s->fence, s->until_ms);

	g_free(run);
	return out;
}

static char *
write_stop(const struct flow_run *of, uint64_t fence)
{
	char *run = run_text(of);
	char *out = g_strdup_printf("%s %" PRIu64 " 0", run, fence);

	g_free(run);
	return out;
}

static char *
write_look(const struct agent_look *l)
{
	return g_strdup_printf("%" PRIi64 " %" PRIu64 " %" PRIu64 " %d",
	    l->until_ms, l->fence, l->taken, l->wait_ms);
}

static char *
write_advise(const struct agent_query *q)
{
	return g_strdup("");
}

static enum agent_verdict
read_verdict(int status, const void *body, size_t len, int64_t *clock_ms)
{
	char *text = g_strndup(body == NULL ? "" : body, len);
	enum agent_verdict v = AGENT_UNCLEAR;

	if (status == 200) {
		v = AGENT_TAKEN;
		*clock_ms = g_ascii_strtoll(text, NULL, 10);
	} else if (status == 409) {
		v = (enum agent_verdict)strtol(text, NULL, 10);
	}
	g_free(text);
	return v;
}

static bool
read_line(const char *line, struct agent_report *out)
{
	struct agent_end e = { 0 };
	struct agent_running r = { 0 };
	unsigned how;

	if (sscanf(line,
		"R %" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
		" %" SCNi64,
		&r.of.job, &r.of.occurrence, &r.of.step, &r.of.index,
		&r.of.number, &r.percent) == 6) {
		g_array_append_val(out->running, r);
		return true;
	}
	if (sscanf(line,
		"E %" SCNu64 " %" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32
		" %" SCNu32 " %u",
		&e.number, &e.of.job, &e.of.occurrence, &e.of.step, &e.of.index,
		&e.of.number, &how) == 7) {
		e.how = (enum agent_how)how;
		g_array_append_val(out->ends, e);
		return true;
	}
	return *line == '\0';
}

static bool
read_report(const void *body, size_t len, struct agent_report *out)
{
	char *text = g_strndup(body == NULL ? "" : body, len);
	char **lines = g_strsplit(text, "\n", -1);
	bool ok = lines[0] != NULL;

	if (ok)
		ok = sscanf(lines[0], "%" SCNi64 " %" SCNi64, &out->clock_ms,
			 &out->born_ms) == 2;
	for (int i = 1; ok && lines[i] != NULL; i++)
		ok = read_line(lines[i], out);
	g_strfreev(lines);
	g_free(text);
	return ok;
}

static bool
read_permits(const void *body, size_t len, struct agent_permits *out)
{
	return false;
}

const struct agent_ops stub_agent = { .life_header = "X-Worker",
	.start_path = "/start",
	.start = write_start,
	.stop_path = "/stop",
	.stop = write_stop,
	.look_path = "/look",
	.look = write_look,
	.advise_path = "/advise",
	.advise = write_advise,
	.verdict = read_verdict,
	.report = read_report,
	.permits = read_permits };

/* --- the worker --- */

static void
answer(struct http_request *req, int status, char *text)
{
	http_reply_text(req, status, "text/plain", text);
}

static void
answer_clock(struct http_request *req)
{
	answer(req, 200, g_strdup_printf("%" PRIi64, mono_ms()));
}

static void
answer_refusal(struct http_request *req, enum agent_verdict v)
{
	answer(req, 409, g_strdup_printf("%d", (int)v));
}

static void
answer_look(struct stub_worker *w)
{
	struct http_request *req = g_steal_pointer(&w->look);
	GString *out = g_string_new(NULL);

	if (req == NULL) {
		g_string_free(out, TRUE);
		return;
	}
	event_del(w->look_timer);
	g_string_append_printf(
	    out, "%" PRIi64 " %" PRIi64 "\n", mono_ms(), w->born_ms);
	for (guint i = 0; i < w->running->len; i++) {
		struct stub_run *r =
		    &g_array_index(w->running, struct stub_run, i);
		char *run = run_text(&r->of);

		g_string_append_printf(
		    out, "R %s %" PRIi64 "\n", run, r->percent);
		g_free(run);
	}
	for (guint i = 0; i < w->ends->len; i++) {
		struct agent_end *e =
		    &g_array_index(w->ends, struct agent_end, i);
		char *run = run_text(&e->of);

		g_string_append_printf(
		    out, "E %" PRIu64 " %s %d\n", e->number, run, (int)e->how);
		g_free(run);
	}
	answer(req, 200, g_string_free(out, FALSE));
}

static void
on_look_timer(evutil_socket_t fd, short what, void *arg)
{
	answer_look(arg);
}

static int
find_run(const struct stub_worker *w, const struct flow_run *of)
{
	for (guint i = 0; i < w->running->len; i++)
		if (same_task(
			&g_array_index(w->running, struct stub_run, i).of, of))
			return (int)i;
	return -1;
}

static void
list_end(struct stub_worker *w, const struct flow_run *of, enum agent_how how)
{
	struct agent_end e = { .number = ++w->last_end, .of = *of, .how = how };

	g_array_append_val(w->ends, e);
	answer_look(w);
}

void
stub_worker_end(
    struct stub_worker *w, const struct flow_run *of, enum agent_how how)
{
	int i = find_run(w, of);

	g_assert_cmpint(i, >=, 0);
	g_array_remove_index(w->running, (guint)i);
	list_end(w, of, how);
}

bool
stub_worker_runs(const struct stub_worker *w, const struct flow_run *of)
{
	int i = find_run(w, of);

	return i >= 0 &&
	    g_array_index(w->running, struct stub_run, i).of.number ==
	    of->number;
}

/* Says whether that run, or a later one, has ended or was stopped. */
static bool
has_ended(const struct stub_worker *w, const struct flow_run *of)
{
	for (guint i = 0; i < w->ends->len; i++) {
		struct agent_end *e =
		    &g_array_index(w->ends, struct agent_end, i);

		if (same_task(&e->of, of) && e->of.number >= of->number)
			return true;
	}
	return false;
}

static bool
read_order(struct http_request *req, struct flow_run *of, uint64_t *fence,
    int64_t *until_ms)
{
	char *text = g_strndup(req->body, req->body_len);
	bool ok = sscanf(text,
		      "%" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
		      " %" SCNu64 " %" SCNi64,
		      &of->job, &of->occurrence, &of->step, &of->index,
		      &of->number, fence, until_ms) == 7;

	g_free(text);
	return ok;
}

/* Says whether the request may be acted on; keeps it for good if mute. */
static bool
hears(struct stub_worker *w, struct http_request *req)
{
	if (!w->mute)
		return true;
	g_ptr_array_add(w->unanswered, req);
	return false;
}

static void
on_start(void *arg, struct http_request *req)
{
	struct stub_worker *w = arg;
	struct stub_run r = { 0 };
	uint64_t fence;
	int64_t until_ms;

	if (!hears(w, req))
		return;
	g_assert_true(read_order(req, &r.of, &fence, &until_ms));
	w->starts++;
	if (w->swallow > 0) {
		w->swallow--;
		g_array_append_val(w->kept, r.of);
		g_ptr_array_add(w->unanswered, req);
		return;
	}
	if (fence < w->fence) {
		answer_refusal(req, AGENT_FENCED);
		return;
	}
	w->fence = fence;
	if (w->refuse > 0) {
		w->refuse--;
		answer_refusal(req, AGENT_NO_ROOM);
		return;
	}
	if (has_ended(w, &r.of)) {
		answer_refusal(req, AGENT_ENDED);
		return;
	}
	if (find_run(w, &r.of) < 0)
		g_array_append_val(w->running, r);
	w->until_ms = MAX(w->until_ms, until_ms);
	answer_clock(req);
	if (w->fail > 0) {
		w->fail--;
		stub_worker_end(w, &r.of, AGENT_FAILED);
	}
}

static void
on_stop(void *arg, struct http_request *req)
{
	struct stub_worker *w = arg;
	struct flow_run of = { 0 };
	uint64_t fence;
	int64_t unused;

	if (!hears(w, req))
		return;
	g_assert_true(read_order(req, &of, &fence, &unused));
	w->stops++;
	if (stub_worker_runs(w, &of)) {
		g_array_remove_index(w->running, (guint)find_run(w, &of));
		list_end(w, &of, AGENT_STOPPED);
	} else {
		/* One that comes later is refused. */
		for (guint i = w->kept->len; i > 0; i--)
			if (same_task(
				&g_array_index(w->kept, struct flow_run, i - 1),
				&of))
				g_array_remove_index(w->kept, i - 1);
	}
	answer_clock(req);
}

static void
forget_taken(struct stub_worker *w, uint64_t taken)
{
	w->most_taken = MAX(w->most_taken, taken);
	while (w->ends->len > 0 &&
	    g_array_index(w->ends, struct agent_end, 0).number <= taken)
		g_array_remove_index(w->ends, 0);
}

static void
on_look(void *arg, struct http_request *req)
{
	struct stub_worker *w = arg;
	char *text;
	int64_t until_ms;
	uint64_t fence;
	uint64_t taken;
	int wait_ms;
	struct timeval tv = { 0 };

	if (!hears(w, req))
		return;
	text = g_strndup(req->body, req->body_len);
	g_assert_cmpint(sscanf(text, "%" SCNi64 " %" SCNu64 " %" SCNu64 " %d",
			    &until_ms, &fence, &taken, &wait_ms),
	    ==, 4);
	g_free(text);
	w->looks++;
	if (fence < w->fence) {
		answer_refusal(req, AGENT_FENCED);
		return;
	}
	w->fence = fence;
	w->until_ms = MAX(w->until_ms, until_ms);
	forget_taken(w, taken);
	answer_look(w); /* one that the caller has given up */
	w->look = req;
	tv.tv_sec = wait_ms / 1000;
	tv.tv_usec = wait_ms % 1000 * 1000;
	event_add(w->look_timer, &tv);
	if (w->ends->len > 0 || wait_ms == 0)
		answer_look(w);
}

static const struct http_route routes[] = {
	{ EVHTTP_REQ_POST, "/start", on_start },
	{ EVHTTP_REQ_POST, "/stop", on_stop },
	{ EVHTTP_REQ_POST, "/look", on_look },
};

int
stub_worker_carry_out(struct stub_worker *w)
{
	int n = 0;

	for (guint i = 0; i < w->kept->len; i++) {
		struct stub_run r = { .of = g_array_index(
					  w->kept, struct flow_run, i) };

		if (find_run(w, &r.of) >= 0 || has_ended(w, &r.of) ||
		    mono_ms() > w->until_ms)
			continue;
		g_array_append_val(w->running, r);
		n++;
	}
	g_array_set_size(w->kept, 0);
	return n;
}

struct stub_worker *
stub_worker_new(struct event_base *base, const char *name)
{
	struct stub_worker *w = g_new0(struct stub_worker, 1);
	char *ip = loopback_ip();
	GError *err = NULL;

	w->base = base;
	w->name = g_strdup(name);
	w->address = free_address(ip);
	w->born_ms = g_get_real_time() / 1000;
	w->running = g_array_new(FALSE, TRUE, sizeof(struct stub_run));
	w->ends = g_array_new(FALSE, TRUE, sizeof(struct agent_end));
	w->kept = g_array_new(FALSE, TRUE, sizeof(struct flow_run));
	w->unanswered = g_ptr_array_new();
	w->look_timer = event_new(base, -1, 0, on_look_timer, w);
	w->server =
	    httpd_new(base, w->address, routes, G_N_ELEMENTS(routes), w, &err);
	g_assert_no_error(err);
	g_free(ip);
	return w;
}

void
stub_worker_crash(struct stub_worker *w)
{
	/* The requests go with their connections. */
	if (w->look != NULL)
		g_ptr_array_add(w->unanswered, g_steal_pointer(&w->look));
	event_del(w->look_timer);
	for (guint i = 0; i < w->unanswered->len; i++)
		answer_clock(w->unanswered->pdata[i]);
	g_ptr_array_set_size(w->unanswered, 0);
	httpd_free(g_steal_pointer(&w->server));
}

void
stub_worker_free(struct stub_worker *w)
{
	if (w->server != NULL)
		stub_worker_crash(w);
	event_free(w->look_timer);
	g_ptr_array_unref(w->unanswered);
	g_array_unref(w->running);
	g_array_unref(w->ends);
	g_array_unref(w->kept);
	g_free(w->name);
	g_free(w->address);
	g_free(w);
}
