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
run_text(const struct flow_run *id)
{
	return g_strdup_printf("%" PRIu64 " %u %u %u %u", id->job,
	    id->occurrence, id->step, id->index, id->number);
}

/* --- the adapter that lib/dispatch uses --- */

static char *
write_start(const struct agent_start *s)
{
	char *run = run_text(&s->id);
	char *out = g_strdup_printf(
	    "%s %" PRIu64 " %" PRIi64, run, s->fence, s->lease_until_ms);

	g_free(run);
	return out;
}

static char *
write_stop(const struct flow_run *id, uint64_t fence)
{
	char *run = run_text(id);
	char *out = g_strdup_printf("%s %" PRIu64 " 0", run, fence);

	g_free(run);
	return out;
}

static char *
write_poll(const struct agent_poll *p)
{
	return g_strdup_printf("%" PRIi64 " %" PRIu64 " %" PRIu64 " %d",
	    p->lease_until_ms, p->fence, p->acked, p->wait_ms);
}

static char *
write_query(const struct agent_query *q)
{
	return g_strdup("");
}

static enum agent_result
read_result(int status, const void *body, size_t len, int64_t *clock_ms)
{
	char *text = g_strndup(body == NULL ? "" : body, len);
	enum agent_result result = AGENT_UNKNOWN;

	if (status == 200) {
		result = AGENT_ACCEPTED;
		*clock_ms = g_ascii_strtoll(text, NULL, 10);
	} else if (status == 409) {
		result = (enum agent_result)strtol(text, NULL, 10);
	}
	g_free(text);
	return result;
}

static bool
read_line(const char *line, struct agent_report *out)
{
	struct agent_end e = { 0 };
	struct agent_running r = { 0 };
	unsigned outcome;
	int checkpoint = 0; /* offset in the line */

	if (sscanf(line,
		"R %" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
		" %" SCNi64 " %n",
		&r.id.job, &r.id.occurrence, &r.id.step, &r.id.index,
		&r.id.number, &r.percent, &checkpoint) == 6) {
		r.checkpoint = g_strdup(line + checkpoint);
		g_array_append_val(out->running, r);
		return true;
	}
	if (sscanf(line,
		"E %" SCNu64 " %" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32
		" %" SCNu32 " %u %n",
		&e.number, &e.id.job, &e.id.occurrence, &e.id.step, &e.id.index,
		&e.id.number, &outcome, &checkpoint) == 7) {
		e.checkpoint = g_strdup(line + checkpoint);
		e.outcome = (enum agent_outcome)outcome;
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
			 &out->started_ms) == 2;
	for (int i = 1; ok && lines[i] != NULL; i++)
		ok = read_line(lines[i], out);
	out->ends_cut = out->ends->len == STUB_ENDS_MAX;
	g_strfreev(lines);
	g_free(text);
	return ok;
}

static bool
read_permits(const void *body, size_t len, struct agent_permits *out)
{
	return false;
}

const struct agent_ops stub_agent = { .worker_header = "X-Worker",
	.start_path = "/start",
	.write_start = write_start,
	.stop_path = "/stop",
	.write_stop = write_stop,
	.poll_path = "/look",
	.write_poll = write_poll,
	.query_path = "/advise",
	.write_query = write_query,
	.read_result = read_result,
	.read_report = read_report,
	.read_permits = read_permits };

/* --- the worker --- */

static void
answer(struct http_request *req, int status, char *text)
{
	http_reply_text(req, status, "text/plain", text);
}

static int64_t
clock_ms(const struct stub_worker *w)
{
	return mono_ms() - w->clock_zero_ms;
}

static void
answer_clock(const struct stub_worker *w, struct http_request *req)
{
	answer(req, 200, g_strdup_printf("%" PRIi64, clock_ms(w)));
}

static void
answer_refusal(struct http_request *req, enum agent_result result)
{
	answer(req, 409, g_strdup_printf("%d", (int)result));
}

static void
answer_poll(struct stub_worker *w)
{
	struct http_request *req = g_steal_pointer(&w->poll);
	GString *out = g_string_new(NULL);

	if (req == NULL) {
		g_string_free(out, TRUE);
		return;
	}
	event_del(w->poll_timer);
	g_string_append_printf(
	    out, "%" PRIi64 " %" PRIi64 "\n", clock_ms(w), w->started_ms);
	for (guint i = 0; i < w->running->len; i++) {
		struct stub_run *r =
		    &g_array_index(w->running, struct stub_run, i);
		char *run = run_text(&r->id);

		g_string_append_printf(out, "R %s %" PRIi64 " %s\n", run,
		    r->percent, w->checkpoint);
		g_free(run);
	}
	for (guint i = 0; i < MIN(w->ends->len, STUB_ENDS_MAX); i++) {
		struct agent_end *e =
		    &g_array_index(w->ends, struct agent_end, i);
		char *run = run_text(&e->id);

		g_string_append_printf(out, "E %" PRIu64 " %s %d %s\n",
		    e->number, run, (int)e->outcome, w->checkpoint);
		g_free(run);
	}
	answer(req, 200, g_string_free(out, FALSE));
}

static void
on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
	answer_poll(arg);
}

static int
find_run(const struct stub_worker *w, const struct flow_run *id)
{
	for (guint i = 0; i < w->running->len; i++)
		if (same_task(
			&g_array_index(w->running, struct stub_run, i).id, id))
			return (int)i;
	return -1;
}

static void
report_end(struct stub_worker *w, const struct flow_run *id,
    enum agent_outcome outcome)
{
	struct agent_end e = {
		.number = ++w->last_end, .id = *id, .outcome = outcome
	};

	g_array_append_val(w->ends, e);
	answer_poll(w);
}

void
stub_worker_end(struct stub_worker *w, const struct flow_run *id,
    enum agent_outcome outcome)
{
	int i = find_run(w, id);

	g_assert_cmpint(i, >=, 0);
	g_array_remove_index(w->running, (guint)i);
	report_end(w, id, outcome);
}

bool
stub_worker_runs(const struct stub_worker *w, const struct flow_run *id)
{
	int i = find_run(w, id);

	return i >= 0 &&
	    g_array_index(w->running, struct stub_run, i).id.number ==
	    id->number;
}

bool
stub_worker_has_task(const struct stub_worker *w, const struct flow_run *id)
{
	return find_run(w, id) >= 0;
}

/* Says whether this run or a later one of its task has ended or was stopped. */
static bool
has_ended(const struct stub_worker *w, const struct flow_run *id)
{
	for (guint i = 0; i < w->ends->len; i++) {
		struct agent_end *e =
		    &g_array_index(w->ends, struct agent_end, i);

		if (same_task(&e->id, id) && e->id.number >= id->number)
			return true;
	}
	return false;
}

static bool
read_order(struct http_request *req, struct flow_run *id, uint64_t *fence,
    int64_t *lease_until_ms)
{
	char *text = g_strndup(req->body, req->body_len);
	bool ok = sscanf(text,
		      "%" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
		      " %" SCNu64 " %" SCNi64,
		      &id->job, &id->occurrence, &id->step, &id->index,
		      &id->number, fence, lease_until_ms) == 7;

	g_free(text);
	return ok;
}

/* Says whether to handle the request: it is not if it is for a worker of
 * another name; if unresponsive it is never answered. */
static bool
is_to_handle(struct stub_worker *w, struct http_request *req)
{
	if (w->unresponsive) {
		g_ptr_array_add(w->unanswered, req);
		return false;
	}
	if (g_strcmp0(http_header(req, stub_agent.worker_header), w->name) !=
	    0) {
		answer_refusal(req, AGENT_OTHER_INCARNATION);
		return false;
	}
	return true;
}

/* Leases don't get shorter. */
static void
extend_lease(struct stub_worker *w, int64_t until_ms)
{
	if (w->lease_max_ms > 0)
		until_ms = MIN(until_ms, clock_ms(w) + w->lease_max_ms);
	w->lease_until_ms = MAX(w->lease_until_ms, until_ms);
}

static void
on_deadly_start(evutil_socket_t fd, short what, void *arg)
{
	struct stub_worker *w = arg;

	if (w->server != NULL)
		stub_worker_crash(w);
}

static void
on_start(void *arg, struct http_request *req)
{
	struct stub_worker *w = arg;
	struct stub_run r = { .started_ms = mono_ms() };
	struct timeval delay = { .tv_sec = w->deadly_after_ms / 1000,
		.tv_usec = w->deadly_after_ms % 1000 * 1000 };
	uint64_t fence;
	int64_t lease_until_ms;

	if (!is_to_handle(w, req))
		return;
	g_assert_true(read_order(req, &r.id, &fence, &lease_until_ms));
	w->starts++;
	if (w->hold_starts > 0) {
		w->hold_starts--;
		g_array_append_val(w->held_starts, r.id);
		g_ptr_array_add(w->unanswered, req);
		return;
	}
	if (fence < w->fence) {
		answer_refusal(req, AGENT_FENCED);
		return;
	}
	w->fence = fence;
	if (w->refuse_starts > 0) {
		w->refuse_starts--;
		answer_refusal(req, AGENT_NO_RESOURCES);
		return;
	}
	if (has_ended(w, &r.id)) {
		answer_refusal(req, AGENT_ENDED);
		return;
	}
	if (w->is_deadly != NULL && w->is_deadly(&r.id)) {
		/* Not within a callback of its server. */
		event_base_once(
		    w->base, -1, EV_TIMEOUT, on_deadly_start, w, &delay);
		if (w->deadly_after_ms == 0) {
			g_ptr_array_add(w->unanswered, req);
			return;
		}
	}
	if (find_run(w, &r.id) < 0)
		g_array_append_val(w->running, r);
	extend_lease(w, lease_until_ms);
	answer_clock(w, req);
	if (w->fail_runs > 0 || (w->fails != NULL && w->fails(&r.id))) {
		w->fail_runs = MAX(w->fail_runs - 1, 0);
		stub_worker_end(w, &r.id, AGENT_FAILED);
	}
}

static void
on_stop(void *arg, struct http_request *req)
{
	struct stub_worker *w = arg;
	struct flow_run id = { 0 };
	uint64_t fence;
	int64_t unused;

	if (!is_to_handle(w, req))
		return;
	g_assert_true(read_order(req, &id, &fence, &unused));
	w->stops++;
	if (stub_worker_runs(w, &id) && w->stop_ms > 0) {
		struct stub_run *r = &g_array_index(
		    w->running, struct stub_run, (guint)find_run(w, &id));

		if (r->stop_due_ms == 0)
			r->stop_due_ms = mono_ms() + w->stop_ms;
	} else if (stub_worker_runs(w, &id)) {
		g_array_remove_index(w->running, (guint)find_run(w, &id));
		report_end(w, &id, AGENT_STOPPED);
	} else {
		/* Held start orders of this run must not take effect. */
		for (guint i = w->held_starts->len; i > 0; i--)
			if (same_task(&g_array_index(w->held_starts,
					  struct flow_run, i - 1),
				&id))
				g_array_remove_index(w->held_starts, i - 1);
	}
	answer_clock(w, req);
}

static void
remove_acked(struct stub_worker *w, uint64_t acked)
{
	w->max_acked = MAX(w->max_acked, acked);
	w->poll_acked = acked;
	while (w->ends->len > 0 &&
	    g_array_index(w->ends, struct agent_end, 0).number <= acked)
		g_array_remove_index(w->ends, 0);
}

static void
on_poll(void *arg, struct http_request *req)
{
	struct stub_worker *w = arg;
	char *text;
	int64_t lease_until_ms;
	uint64_t fence;
	uint64_t acked;
	int wait_ms;
	struct timeval tv = { 0 };

	if (!is_to_handle(w, req))
		return;
	text = g_strndup(req->body, req->body_len);
	g_assert_cmpint(sscanf(text, "%" SCNi64 " %" SCNu64 " %" SCNu64 " %d",
			    &lease_until_ms, &fence, &acked, &wait_ms),
	    ==, 4);
	g_free(text);
	/* Without a lease or a wait it only asks who answers. */
	if (lease_until_ms == 0 && wait_ms == 0)
		w->greetings++;
	else
		w->polls++;
	if (fence < w->fence) {
		answer_refusal(req, AGENT_FENCED);
		return;
	}
	w->fence = fence;
	extend_lease(w, lease_until_ms);
	remove_acked(w, acked);
	answer_poll(w); /* an earlier poll that timed out */
	w->poll = req;
	tv.tv_sec = wait_ms / 1000;
	tv.tv_usec = wait_ms % 1000 * 1000;
	event_add(w->poll_timer, &tv);
	if (w->ends->len > 0 || wait_ms == 0)
		answer_poll(w);
}

static const struct http_route routes[] = {
	{ EVHTTP_REQ_POST, "/start", on_start },
	{ EVHTTP_REQ_POST, "/stop", on_stop },
	{ EVHTTP_REQ_POST, "/look", on_poll },
};

void
stub_worker_complete_progress(struct stub_worker *w)
{
	for (guint i = 0; i < w->running->len; i++)
		g_array_index(w->running, struct stub_run, i).percent = 100;
}

int
stub_worker_execute_held(struct stub_worker *w)
{
	int started = 0;

	for (guint i = 0; i < w->held_starts->len; i++) {
		struct stub_run r = { .id = g_array_index(
					  w->held_starts, struct flow_run, i),
			.started_ms = mono_ms() };

		if (find_run(w, &r.id) >= 0 || has_ended(w, &r.id) ||
		    clock_ms(w) > w->lease_until_ms)
			continue;
		g_array_append_val(w->running, r);
		started++;
	}
	g_array_set_size(w->held_starts, 0);
	return started;
}

static void
listen_for_orders(struct stub_worker *w)
{
	GError *err = NULL;

	w->server = httpd_new(
	    w->base, w->address, routes, G_N_ELEMENTS(routes), w, &err);
	g_assert_no_error(err);
}

struct stub_worker *
stub_worker_new(struct event_base *base, const char *name)
{
	struct stub_worker *w = g_new0(struct stub_worker, 1);
	char *ip = loopback_ip();

	w->base = base;
	w->name = g_strdup(name);
	w->address = free_address(ip);
	w->started_ms = g_get_real_time() / 1000;
	w->checkpoint = g_strdup("");
	w->capacity = (struct resources){ 4000, 1 << 30, 0 };
	w->running = g_array_new(FALSE, TRUE, sizeof(struct stub_run));
	w->ends = g_array_new(FALSE, TRUE, sizeof(struct agent_end));
	w->held_starts = g_array_new(FALSE, TRUE, sizeof(struct flow_run));
	w->unanswered = g_ptr_array_new();
	w->poll_timer = event_new(base, -1, 0, on_poll_timer, w);
	listen_for_orders(w);
	g_free(ip);
	return w;
}

void
stub_worker_crash(struct stub_worker *w)
{
	/* Only an answer frees a request. */
	if (w->poll != NULL)
		g_ptr_array_add(w->unanswered, g_steal_pointer(&w->poll));
	event_del(w->poll_timer);
	for (guint i = 0; i < w->unanswered->len; i++)
		answer_clock(w, w->unanswered->pdata[i]);
	g_ptr_array_set_size(w->unanswered, 0);
	httpd_free(g_steal_pointer(&w->server));
	w->crashes++;
	w->crashed_ms = mono_ms();
}

void
stub_worker_replace(struct stub_worker *w)
{
	w->started_ms = g_get_real_time() / 1000;
	w->clock_zero_ms = mono_ms();
	w->fence = 0;
	w->lease_until_ms = 0;
	w->acked = 0;
	w->last_end = 0;
	w->starts = 0;
	w->stops = 0;
	w->polls = 0;
	w->greetings = 0;
	w->max_acked = 0;
	g_array_set_size(w->running, 0);
	g_array_set_size(w->ends, 0);
	if (!w->carried)
		g_array_set_size(w->held_starts, 0);
}

void
stub_worker_restart_under_name(struct stub_worker *w)
{
	stub_worker_replace(w);
	listen_for_orders(w);
}

void
stub_worker_take_longest_lease(struct stub_worker *w)
{
	extend_lease(w, INT64_MAX);
}

void
stub_worker_restart(struct stub_worker *w)
{
	char *name = g_strdup_printf("%s+", w->name);

	g_free(w->name);
	w->name = name;
	stub_worker_restart_under_name(w);
}

/* Says whether a run has ended by now, and how. */
static bool
has_run_out(const struct stub_worker *w, const struct stub_run *r, int64_t now,
    enum agent_outcome *outcome)
{
	*outcome = AGENT_LEASE_EXPIRED;
	if (w->lease_max_ms > 0 && clock_ms(w) > w->lease_until_ms)
		return true;
	*outcome = AGENT_STOPPED;
	if (r->stop_due_ms != 0 && now >= r->stop_due_ms)
		return true;
	*outcome = AGENT_DONE;
	return w->run_ms > 0 &&
	    (w->never_ends == NULL || !w->never_ends(&r->id)) &&
	    now - r->started_ms >= w->run_ms;
}

bool
stub_worker_tick(struct stub_worker *w)
{
	int64_t now = mono_ms();

	if (w->server == NULL) {
		if (w->down_ms == 0 || now - w->crashed_ms < w->down_ms)
			return false;
		stub_worker_restart(w);
		return true;
	}
	for (guint i = w->running->len; i > 0; i--) {
		struct stub_run *r =
		    &g_array_index(w->running, struct stub_run, i - 1);
		struct flow_run id = r->id;
		enum agent_outcome outcome;

		if (has_run_out(w, r, now, &outcome))
			stub_worker_end(w, &id, outcome);
	}
	return false;
}

void
stub_worker_free(struct stub_worker *w)
{
	if (w->server != NULL)
		stub_worker_crash(w);
	event_free(w->poll_timer);
	g_ptr_array_unref(w->unanswered);
	g_array_unref(w->running);
	g_array_unref(w->ends);
	g_array_unref(w->held_starts);
	g_free(w->name);
	g_free(w->address);
	g_free(w->checkpoint);
	g_free(w);
}
