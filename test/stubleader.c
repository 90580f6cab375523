#include <string.h>

#include "stubleader.h"

#define RESEND_MS 40 /* as in lib/gate */

void
leader_apply(struct leader *l)
{
	GBytes *command = g_queue_pop_head(&l->commands);
	enum flow_apply_result outcome;
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(command, &len);

	g_assert_true(flow_apply(l->flow, data, len, &outcome, &err));
	g_assert_true(flow_check(l->flow, &err));
	g_assert_no_error(err);
	g_bytes_unref(command);
	dispatch_applied(l->dispatch, ++l->applied, outcome);
	dispatch_batch_applied(l->dispatch);
}

static void
apply_next(evutil_socket_t fd, short what, void *arg)
{
	struct leader *l = arg;

	if (!l->hold_commands && !g_queue_is_empty(&l->commands))
		leader_apply(l);
}

void
leader_release_commands(struct leader *l)
{
	l->hold_commands = false;
	while (!g_queue_is_empty(&l->commands))
		leader_apply(l);
}

static uint64_t
on_propose(void *arg, GBytes *command)
{
	struct leader *l = arg;
	struct timeval now = { 0 };

	if (l->no_quorum)
		return 0;
	g_queue_push_tail(&l->commands, g_bytes_ref(command));
	event_base_once(l->base, -1, EV_TIMEOUT, apply_next, l, &now);
	return ++l->proposed;
}

static void
free_sending(struct leader *l)
{
	if (l->sending == NULL)
		return;
	request_clear(l->sending);
	g_free(g_steal_pointer(&l->sending));
}

/* Frees the request, as lib/gate does, so that a use after its answer is found
 * by the sanitizers. */
static void
on_answer(void *arg, uint64_t process, const struct answer *a)
{
	struct leader *l = arg;
	gsize len;
	const char *text = g_bytes_get_data(a->text, &len);

	if (l->sending != NULL && l->sending->id == a->id)
		free_sending(l);
	if (a->id != l->awaited)
		return;
	l->answers++;
	l->last_result = a->result;
	l->last_retry_ms = a->retry_ms;
	g_free(l->last_text);
	l->last_text = g_strndup(text, len);
}

static bool
on_query_policy(
    void *arg, uint64_t process, uint64_t query, const struct agent_query *q)
{
	struct leader *l = arg;
	struct stub_call *call;

	l->queries++;
	if (!l->policy_connected)
		return false;
	call = g_new0(struct stub_call, 1);
	*call = (struct stub_call){ .process = process,
		.query = query,
		.job = q->job,
		.step = q->step,
		.workers = g_strdupv(q->workers) };
	g_ptr_array_add(l->calls, call);
	return true;
}

static void
call_free(void *arg)
{
	struct stub_call *call = arg;

	g_strfreev(call->workers);
	g_free(call);
}

/* Frees the call. */
static void
answer_call(
    struct leader *l, struct stub_call *call, struct agent_permits *permits)
{
	dispatch_permits_received(
	    l->dispatch, call->process, call->query, permits);
	g_ptr_array_remove(l->calls, call);
}

void
leader_allow(struct leader *l, struct stub_call *call, int64_t valid_ms)
{
	struct agent_permits permits;

	agent_permits_init(&permits);
	permits.valid_ms = valid_ms;
	for (char **w = call->workers; *w != NULL; w++) {
		struct agent_permit p = { .worker = g_strdup(*w),
			.permit = g_strdup("permit") };

		g_array_append_val(permits.allowed, p);
	}
	answer_call(l, call, &permits);
	agent_permits_clear(&permits);
}

void
leader_deny(struct leader *l, struct stub_call *call)
{
	struct agent_permits permits;

	agent_permits_init(&permits);
	answer_call(l, call, &permits);
	agent_permits_clear(&permits);
}

void
leader_fail_call(struct leader *l, struct stub_call *call)
{
	answer_call(l, call, NULL);
}

static void
read_done(evutil_socket_t fd, short what, void *arg)
{
	struct leader *l = arg;

	if (!l->no_quorum && !l->unconfirmed)
		dispatch_read_done(l->dispatch, l->context, true);
}

static bool
on_confirm(void *arg, uint64_t context)
{
	struct leader *l = arg;
	struct timeval now = { 0 };

	if (l->no_quorum || l->unconfirmed)
		return false;
	l->context = context;
	event_base_once(l->base, -1, EV_TIMEOUT, read_done, l, &now);
	return true;
}

static const struct dispatch_ops ops = { .propose = on_propose,
	.answer = on_answer,
	.query_policy = on_query_policy,
	.confirm = on_confirm };

void
leader_run(struct leader *l)
{
	struct timeval tv = { .tv_usec = 5000 };

	event_base_loopexit(l->base, &tv);
	event_base_dispatch(l->base);
	if (l->ran_ms != 0)
		l->stalled_ms = MAX(l->stalled_ms, mono_ms() - l->ran_ms);
	l->ran_ms = mono_ms();
}

void
leader_run_for(struct leader *l, int64_t ms)
{
	int64_t until = mono_ms() + ms;

	while (mono_ms() < until)
		leader_run(l);
}

void
leader_send(
    struct leader *l, enum request_op op, const char *path, GBytes *body)
{
	struct request a = { .id = ++l->requests,
		.op = op,
		.host = (char *)"jobs.example",
		.path = (char *)path,
		.seq = (int64_t)l->requests,
		.body = body == NULL ? g_bytes_new_static("", 0) : body,
		.credential = (char *)l->key };

	l->sending = g_new(struct request, 1);
	*l->sending = request_copy(&a);
	g_bytes_unref(a.body);
	dispatch_handle_request(l->dispatch, 0, l->sending);
	free_sending(l);
}

void
leader_request(
    struct leader *l, enum request_op op, const char *path, GBytes *body)
{
	int64_t give_up_ms = mono_ms() + AWAIT_LIMIT_MS;
	bool again;

	do {
		int before = l->answers;

		g_assert_cmpint(mono_ms(), <, give_up_ms);
		l->awaited = l->requests + 1;
		leader_send(
		    l, op, path, body == NULL ? NULL : g_bytes_ref(body));
		AWAIT(l, l->answers > before);
		/* If the process was suspended, leadership has to be confirmed
		 * first; lib/gate sends such requests again. */
		again = l->last_result == REQUEST_UNAVAILABLE &&
		    dispatch_leads(l->dispatch) && !l->no_quorum &&
		    !l->unconfirmed;
		if (again)
			leader_run_for(l, RESEND_MS);
	} while (again);
	if (body != NULL)
		g_bytes_unref(body);
}

static void
configure(struct leader *l)
{
	struct flow_config c;
	struct flow_queue *q = flow_queue_new();
	struct flow_pool *pool = g_new0(struct flow_pool, 1);

	flow_config_init(&c);
	c.version = 1;
	c.document = g_bytes_new_static("{}", 2);
	*q = (struct flow_queue){ .refs = 1,
		.name = g_strdup("renders"),
		.host = g_strdup("jobs.example"),
		.prefix = g_strdup("/renders/"),
		.pool = g_strdup("desk"),
		.max_failures = 2,
		.slack_factor = 2,
		.target_ms = 1000 };
	pool->name = g_strdup("desk");
	g_ptr_array_add(c.queues, q);
	q = flow_queue_new();
	*q = (struct flow_queue){ .refs = 1,
		.name = g_strdup("allowed"),
		.host = g_strdup("jobs.example"),
		.prefix = g_strdup("/allowed/"),
		.pool = g_strdup("desk"),
		.max_failures = 2,
		.slack_factor = 2,
		.target_ms = 1000,
		.needs_permit = true,
		.permit_call_ms = 500 };
	g_ptr_array_add(c.queues, q);
	g_ptr_array_add(c.pools, pool);
	leader_request(l, REQUEST_CONFIG, "", flow_config_encode(&c));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	flow_config_clear(&c);
}

GBytes *
leader_worker(const struct stub_worker *w, bool draining)
{
	struct flow_worker in = { .name = w->name,
		.address = w->address,
		.pool = (char *)"desk",
		.started_ms = w->started_ms,
		.capacity = w->capacity,
		.draining = draining };

	return flow_worker_encode(&in);
}

void
leader_heartbeat(struct leader *l, const struct stub_worker *w, bool draining)
{
	leader_request(l, REQUEST_WORKER, "", leader_worker(w, draining));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
}

void
leader_set_millicpus(struct leader *l, struct stub_worker *w, int64_t millicpus)
{
	w->capacity.millicpus = millicpus;
	leader_heartbeat(l, w, false);
}

static struct flow_step *
new_step(struct flow_step values)
{
	struct flow_step *s = flow_step_new();

	values.after = s->after;
	*s = values;
	return s;
}

/* Takes the steps; second may be NULL. */
static GBytes *
encode_spec(struct flow_step *first, struct flow_step *second)
{
	struct flow_spec spec = { .payload = g_strdup("work"),
		.steps = g_ptr_array_new_with_free_func(flow_step_free) };
	GBytes *bytes;

	g_ptr_array_add(spec.steps, first);
	if (second != NULL)
		g_ptr_array_add(spec.steps, second);
	bytes = flow_spec_encode(&spec);
	flow_spec_clear(&spec);
	return bytes;
}

GBytes *
leader_spec(struct flow_step values)
{
	return encode_spec(new_step(values), NULL);
}

GBytes *
leader_spec_chain(struct flow_step first, struct flow_step second)
{
	struct flow_step *s = new_step(second);
	uint32_t predecessor = 0;

	g_array_append_val(s->after, predecessor);
	return encode_spec(new_step(first), s);
}

void
leader_submit(
    struct leader *l, const char *path, uint32_t count, int64_t millicpus)
{
	leader_submit_step(l, path,
	    (struct flow_step){ .count = count,
		.resources = { millicpus, 1 << 20, 0 },
		.runtime_ms = 60000 });
}

void
leader_submit_step(struct leader *l, const char *path, struct flow_step values)
{
	leader_request(l, REQUEST_SUBMIT, path, leader_spec(values));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
}

/* conf: the settings that differ from the defaults. */
static struct leader *
leader_create(struct dispatch_conf conf)
{
	struct leader *l = g_new0(struct leader, 1);

	conf.agent = &stub_agent;
	conf.lease_max_ms = 6000;
	conf.far_factor = 1;
	conf.retain_ms = 60000;
	conf.queries_ahead = true;
	l->base = event_base_new();
	l->flow = flow_new();
	l->registry = registry_new();
	l->calls = g_ptr_array_new_with_free_func(call_free);
	g_queue_init(&l->commands);
	conf.base = l->base;
	conf.flow = l->flow;
	conf.registry = l->registry;
	l->dispatch = dispatch_new(&conf, &ops, l);
	dispatch_lead(l->dispatch, 1);
	leader_run(l); /* confirms leadership */
	configure(l);
	return l;
}

struct leader *
leader_new(void)
{
	return leader_create((struct dispatch_conf){ 0 });
}

struct leader *
leader_new_yielding(void)
{
	return leader_create(
	    (struct dispatch_conf){ .yield_under_overload = true });
}

struct leader *
leader_new_uneven(double uneven_workers)
{
	return leader_create(
	    (struct dispatch_conf){ .uneven_workers = uneven_workers });
}

struct leader *
leader_new_draining(int64_t drain_ms)
{
	return leader_create((struct dispatch_conf){ .drain_ms = drain_ms });
}

void
leader_free(struct leader *l)
{
	dispatch_free(l->dispatch);
	leader_run_for(l, 20);
	g_ptr_array_unref(l->calls);
	g_queue_clear_full(&l->commands, (GDestroyNotify)g_bytes_unref);
	flow_free(l->flow);
	registry_free(l->registry);
	event_base_free(l->base);
	g_free(l->last_text);
	g_free(l);
}
