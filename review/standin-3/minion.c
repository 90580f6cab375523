/* A stand-in minion, as PROTOCOL.md has it; controlMode is push. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "minion.h"

#define BEAT_TIMEOUT_MS 1000
#define WAIT_MAX_MS 2000

/* An order without an answer that is carried out later. */
struct late_order {
	json_t *body;
	int64_t due_ms;
};

static int64_t
own_clock(const struct minion *m)
{
	return mono_ms() - m->clock_zero_ms;
}

struct run *
minion_find_run(const struct minion *m, const char *task)
{
	for (guint i = 0; i < m->runs->len; i++) {
		struct run *r = m->runs->pdata[i];

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
run_free(void *arg)
{
	struct run *r = arg;

	g_free(r->task);
	g_free(r);
}

static void
set_over(struct minion *m, const char *task, int64_t number)
{
	g_hash_table_replace(
	    m->ended, g_strdup(task), GINT_TO_POINTER((int)number));
}

static bool
is_over(const struct minion *m, const char *task, int64_t number)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(m->ended, task)) >= number;
}

static void
end_run(struct minion *m, struct run *r, const char *how)
{
	note(m->cell, "%s: %s run %" G_GINT64_FORMAT " ends %s", m->id, r->task,
	    r->number, how);
	g_ptr_array_add(m->ends,
	    json_pack("[IsIss]", (json_int_t)++m->last_end, r->task,
		(json_int_t)r->number, how, ""));
	set_over(m, r->task, r->number);
	if (strcmp(how, "done") == 0)
		g_hash_table_add(m->cell->done, g_strdup(r->task));
	g_ptr_array_remove(m->runs, r);
}

static void
reply_json(struct evhttp_request *req, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	web_reply(req, status, g_strdup(text));
	free(text);
	json_decref(o);
}

static void
reply_clock(struct minion *m, struct evhttp_request *req)
{
	reply_json(req, 200,
	    json_pack("{sI}", "currentTimeMs", (json_int_t)own_clock(m)));
}

static void
reply_reason(struct minion *m, struct evhttp_request *req, const char *reason)
{
	reply_json(req, 409,
	    json_pack("{sIss}", "currentTimeMs", (json_int_t)own_clock(m),
		"reason", reason));
}

static void
extend_lease(struct minion *m, const json_t *body)
{
	const json_t *deadline = json_object_get(body, "deadlineMs");
	int64_t until_ms = json_integer_value(deadline);

	if (deadline == NULL)
		return;
	until_ms = MIN(until_ms, own_clock(m) + LEASE_MAX_MS);
	m->lease_until_ms = MAX(m->lease_until_ms, until_ms);
}

/* Reads an order; answers it and returns NULL if it is for another incarnation
 * or its fencing token is too low. */
static json_t *
read_order(
    struct minion *m, struct evhttp_request *req, const char *body, size_t len)
{
	const char *expected = web_header(req, "Bulrushtide-Expected-Instance");
	json_t *o;
	int64_t fence;

	if (expected != NULL && strcmp(expected, m->id) != 0) {
		web_reply(req, 421, g_strdup("{}"));
		return NULL;
	}
	o = json_loadb(body, len, 0, NULL);
	if (o == NULL) {
		web_reply(req, 400, g_strdup("{}"));
		return NULL;
	}
	fence = json_integer_value(json_object_get(o, "fencingToken"));
	if (fence < m->fence) {
		json_decref(o);
		reply_reason(m, req, "fence");
		return NULL;
	}
	m->fence = fence;
	return o;
}

/* Counts a start that breaks TWICE: beside another run of the task, on a
 * minion that is up, or after an end as done. */
static void
check_twice(struct minion *m, const char *task)
{
	struct cell *c = m->cell;

	for (int i = 0; i < c->minions; i++) {
		const struct minion *other = c->minion[i];
		const struct run *r = other == m || other->server == NULL
		    ? NULL
		    : minion_find_run(other, task);

		if (r == NULL)
			continue;
		note(c,
		    "TWICE: %s starts on %s while run %" G_GINT64_FORMAT
		    " of it is at work on %s",
		    task, m->id, r->number, other->id);
		c->twice++;
	}
	if (!g_hash_table_contains(c->noted, task))
		return;
	note(c,
	    "TWICE: %s starts on %s after an end as done that was "
	    "acknowledged",
	    task, m->id);
	c->twice++;
}

/* Returns the reason of a rejection, or NULL. */
static const char *
start(struct minion *m, const json_t *o, bool late)
{
	struct cell *c = m->cell;
	const char *task = json_string_value(json_object_get(o, "task"));
	int64_t number = json_integer_value(json_object_get(o, "run"));
	struct run *r;

	if (json_integer_value(json_object_get(o, "deadlineMs")) <=
	    own_clock(m))
		return "late";
	extend_lease(m, o);
	if (is_over(m, task, number))
		return "old";
	if (minion_find_run(m, task) != NULL)
		return NULL;
	r = g_new0(struct run, 1);
	r->task = g_strdup(task);
	r->number = number;
	r->start_ms = mono_ms();
	r->due_ms = r->start_ms + c->task_ms;
	note(c, "%s: %s run %" G_GINT64_FORMAT " starts%s", m->id, task, number,
	    late ? ", by an order that is carried out late" : "");
	check_twice(m, task);
	g_ptr_array_add(m->runs, r);
	if (!late && c->on_start != NULL)
		c->on_start(m, r);
	return NULL;
}

static void
handle_start(struct minion *m, struct evhttp_request *req, json_t *o)
{
	const char *task;
	const char *reason;

	task = json_string_value(json_object_get(o, "task"));
	if (m->fate != NULL && m->fate(m, task) == START_LATE) {
		struct late_order *l = g_new0(struct late_order, 1);

		note(m->cell, "%s: gives no answer to an order to start %s",
		    m->id, task);
		l->body = o;
		l->due_ms = mono_ms() + m->late_ms;
		g_ptr_array_add(m->late, l);
		/* Never answered: the caller has gone by the time that it
		 * would be. */
		return;
	}
	reason = start(m, o, false);
	json_decref(o);
	if (reason == NULL)
		reply_clock(m, req);
	else
		reply_reason(m, req, reason);
}

static void
handle_stop(struct minion *m, struct evhttp_request *req, json_t *o)
{
	const char *task;
	int64_t number;
	struct run *r;

	task = json_string_value(json_object_get(o, "task"));
	number = json_integer_value(json_object_get(o, "run"));
	r = minion_find_run(m, task);
	note(m->cell, "%s: is told to stop %s run %" G_GINT64_FORMAT, m->id,
	    task, number);
	if (r != NULL && r->number == number)
		r->stopped_ms = mono_ms() + STOP_MS;
	else if (!is_over(m, task, number))
		set_over(m, task, number);
	json_decref(o);
	reply_clock(m, req);
}

static void
answer_poll(struct minion *m, struct evhttp_request *req)
{
	json_t *running = json_array();
	json_t *ends = json_array();

	for (guint i = 0; i < m->runs->len; i++) {
		const struct run *r = m->runs->pdata[i];
		int64_t ran_ms = mono_ms() - r->start_ms;

		json_array_append_new(running,
		    json_pack("[sIsii]", r->task, (json_int_t)r->number, "",
			(int)(ran_ms * 100 / MAX(r->due_ms - r->start_ms, 1)),
			1000));
	}
	for (guint i = 0; i < m->ends->len && i < 500; i++)
		json_array_append(ends, m->ends->pdata[i]);
	reply_json(req, 200,
	    json_pack("{sIsIsoso}", "currentTimeMs", (json_int_t)own_clock(m),
		"born", (json_int_t)m->born, "running", running, "endedRuns",
		ends));
}

/* Forgets the ends up to a number. */
static void
forget_ends(struct minion *m, int64_t acked)
{
	while (m->ends->len > 0) {
		const json_t *end = m->ends->pdata[0];
		const char *task = json_string_value(json_array_get(end, 1));
		const char *how = json_string_value(json_array_get(end, 3));

		if (json_integer_value(json_array_get(end, 0)) > acked)
			return;
		note(m->cell, "%s: the end of %s as %s is acknowledged", m->id,
		    task, how);
		if (strcmp(how, "done") == 0)
			g_hash_table_add(m->cell->noted, g_strdup(task));
		g_ptr_array_remove_index(m->ends, 0);
	}
}

static void
handle_hold(struct minion *m, struct evhttp_request *req, json_t *o)
{
	int64_t wait_ms;

	extend_lease(m, o);
	forget_ends(m, json_integer_value(json_object_get(o, "ackCursor")));
	wait_ms = json_integer_value(json_object_get(o, "waitMs"));
	json_decref(o);
	if (m->poll != NULL)
		answer_poll(m, g_steal_pointer(&m->poll));
	if (m->ends->len > 0 || wait_ms <= 0) {
		answer_poll(m, req);
		return;
	}
	m->poll = req;
	m->poll_due_ms = mono_ms() + MIN(wait_ms, WAIT_MAX_MS);
}

static void
on_order(void *arg, struct evhttp_request *req, const char *path,
    const char *body, size_t len)
{
	struct minion *m = arg;
	json_t *o = read_order(m, req, body, len);

	if (o == NULL)
		return;
	if (strcmp(path, "/bulrushtide/run-start") == 0)
		handle_start(m, req, o);
	else if (strcmp(path, "/bulrushtide/run-stop") == 0)
		handle_stop(m, req, o);
	else if (strcmp(path, "/bulrushtide/hold") == 0)
		handle_hold(m, req, o);
	else
		cell_give_up(m->cell, "a minion is sent an unknown call");
}

static void
end_due_runs(struct minion *m)
{
	int64_t now = mono_ms();
	bool lapsed = own_clock(m) >= m->lease_until_ms;

	for (guint i = m->runs->len; i > 0; i--) {
		struct run *r = m->runs->pdata[i - 1];

		if (lapsed)
			end_run(m, r, "lapsed");
		else if (r->stopped_ms != 0 && r->stopped_ms <= now)
			end_run(m, r, "stopped");
		else if (r->due_ms <= now)
			end_run(m, r, "done");
	}
}

static void
carry_out_late(struct minion *m)
{
	for (guint i = m->late->len; i > 0; i--) {
		struct late_order *l = m->late->pdata[i - 1];
		const char *reason;

		if (l->due_ms > mono_ms())
			continue;
		reason = m->server == NULL ? "down" : start(m, l->body, true);
		note(m->cell, "%s: a late order is carried out: %s", m->id,
		    reason == NULL ? "taken" : reason);
		json_decref(l->body);
		g_free(l);
		g_ptr_array_remove_index(m->late, i - 1);
	}
}

/* A heartbeat in flight. */
struct beat {
	struct minion *m;
	struct web_peer *peer;
	bool draining;
};

static void
on_beat_answer(void *arg, int status, const char *body, size_t len, bool sent)
{
	struct beat *b = arg;
	struct minion *m = b->m;

	if (status / 100 != 2) {
		m->next_beat_ms = mono_ms(); /* the next node is called */
	} else if (b->draining && m->drain_acked_ms == 0) {
		m->drain_acked_ms = mono_ms();
		note(m->cell, "%s: that it drains is acknowledged", m->id);
	}
	web_peer_free(b->peer);
	g_free(b);
}

static void
send_beat(struct minion *m)
{
	struct cell *c = m->cell;
	struct beat *b = g_new0(struct beat, 1);
	char *path =
	    g_strdup_printf("/bulrushtide/instances/%s/heartbeat", m->id);
	char *body = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z0\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":16000,"
	    "\"memMb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
	    "\"born\":%" G_GINT64_FORMAT ",\"currentTimeMs\":%" G_GINT64_FORMAT
	    ",\"seq\":%" G_GINT64_FORMAT "}",
	    m->service, m->address, m->draining ? "draining" : "ready", m->born,
	    own_clock(m), ++m->seq);

	do
		m->beat_node = (m->beat_node + 1) % NODES;
	while (c->node[m->beat_node].pid == 0);
	b->m = m;
	b->draining = m->draining;
	b->peer = web_peer_new(c->base, c->node[m->beat_node].control);
	web_send(b->peer, EVHTTP_REQ_POST, path, NULL, body, BEAT_TIMEOUT_MS,
	    on_beat_answer, b);
	g_free(path);
	g_free(body);
}

void
minion_tick(struct minion *m)
{
	int64_t now = mono_ms();

	if (m->server == NULL)
		return;
	end_due_runs(m);
	carry_out_late(m);
	if (m->poll != NULL && (m->ends->len > 0 || m->poll_due_ms <= now))
		answer_poll(m, g_steal_pointer(&m->poll));
	if (!m->beats || m->next_beat_ms > now)
		return;
	m->next_beat_ms = now + HEARTBEAT_MS;
	send_beat(m);
}

void
minion_drain(struct minion *m)
{
	note(m->cell, "%s: begins to drain", m->id);
	m->draining = true;
	m->next_beat_ms = 0;
}

void
minion_crash(struct minion *m)
{
	note(m->cell, "%s: crashes", m->id);
	m->poll = NULL;
	web_server_free(g_steal_pointer(&m->server));
	g_ptr_array_set_size(m->runs, 0);
	g_ptr_array_set_size(m->ends, 0);
	g_hash_table_remove_all(m->ended);
}

void
minion_restart(struct minion *m)
{
	m->born = g_get_real_time() / 1000;
	m->clock_zero_ms = mono_ms();
	m->lease_until_ms = m->fence = m->seq = m->last_end = 0;
	m->next_beat_ms = 0;
	m->server = web_server_new(m->cell->base, m->address, on_order, m);
	if (m->server == NULL)
		cell_give_up(m->cell, "a minion can't listen");
	note(m->cell, "%s: is up, born %" G_GINT64_FORMAT, m->id, m->born);
}

struct minion *
minion_new(struct cell *c, const char *id, const char *service)
{
	struct minion *m = g_new0(struct minion, 1);

	m->cell = c;
	g_strlcpy(m->id, id, sizeof(m->id));
	g_snprintf(m->address, sizeof(m->address), "%.*s%d:8080",
	    (int)(strrchr(c->node[0].ip, '.') - c->node[0].ip) + 1,
	    c->node[0].ip, 100 + c->minions);
	m->service = service;
	m->beats = true;
	m->beat_node = c->minions;
	m->runs = g_ptr_array_new_with_free_func(run_free);
	m->ends = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	m->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->late = g_ptr_array_new();
	c->minion[c->minions++] = m;
	minion_restart(m);
	return m;
}
