#include "internal.h"

#define US_PER_MS 1000
#define MEAN_SAMPLES 16 /* a new sample has 1 / MEAN_SAMPLES of the weight */
#define INITIAL_MEAN_US 1000 /* until the first answer */

const struct calls_policy calls_default_policy = {
	.balancer = &calls_two_choices,
	.early_refusal = true,
	.margin_deviations = 2,
	.queue_max = 1000,
	.tries_max = 3,
	.bound_retries = true,
	.retry_percent = 10,
	.retry_burst = 20,
	.eject_after = 5,
	.probe_min_ms = 500,
	.probe_max_ms = 30000,
};

static const char *const reason_names[CALLS_REASON_COUNT] = {
	[CALLS_OK] = "ok",
	[CALLS_NO_TARGET] = "no-target",
	[CALLS_QUEUE_FULL] = "queue-full",
	[CALLS_TOO_LATE] = "deadline",
	[CALLS_NO_BUDGET] = "retry-budget",
	[CALLS_NOT_IDEMPOTENT] = "not-idempotent",
	[CALLS_TRIES_USED] = "tries-used",
};

const char *
calls_reason_name(enum calls_reason reason)
{
	g_assert(reason < CALLS_REASON_COUNT);
	return reason_names[reason];
}

struct target *
target_at(const struct calls *c, uint32_t index)
{
	return &g_array_index(c->targets, struct target, index);
}

/* Returns an element of a table, which grows to hold the handle. */
static void *
table_at(GArray *table, uint32_t handle)
{
	if (handle >= table->len)
		g_array_set_size(table, handle + 1);
	return table->data + (gsize)handle * g_array_get_element_size(table);
}

struct worker *
worker_at(const struct calls *c, uint32_t worker)
{
	return table_at(c->workers, worker);
}

struct service *
service_at(const struct calls *c, uint32_t service)
{
	struct service *s = table_at(c->services, service);

	if (s->targets == NULL) {
		s->targets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		s->mean_us = INITIAL_MEAN_US;
	}
	return s;
}

static struct call *
call_at(const struct calls *c, uint32_t handle)
{
	return &g_array_index(c->calls, struct call, handle);
}

static GArray *
table_new(guint size)
{
	return g_array_new(FALSE, TRUE, size);
}

struct calls *
calls_new(const struct calls_policy *policy, uint64_t seed)
{
	struct calls *c = g_new0(struct calls, 1);

	c->policy = *policy;
	c->rng.state = seed;
	c->targets = table_new(sizeof(struct target));
	c->target_ids =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	c->services = table_new(sizeof(struct service));
	c->workers = table_new(sizeof(struct worker));
	c->budgets = table_new(sizeof(struct calls_budget));
	c->calls = table_new(sizeof(struct call));
	c->free_calls = table_new(sizeof(uint32_t));
	return c;
}

void
calls_free(struct calls *c)
{
	if (c == NULL)
		return;
	for (guint i = 0; i < c->services->len; i++) {
		struct service *s =
		    &g_array_index(c->services, struct service, i);

		if (s->targets != NULL)
			g_array_unref(s->targets);
		g_queue_clear(&s->waiting);
	}
	g_array_unref(c->targets);
	g_hash_table_unref(c->target_ids);
	g_array_unref(c->services);
	g_array_unref(c->workers);
	g_array_unref(c->budgets);
	g_array_unref(c->calls);
	g_array_unref(c->free_calls);
	g_free(c);
}

void
calls_worker_set(struct calls *c, uint32_t worker, int64_t share)
{
	worker_at(c, worker)->share = share;
}

/* Returns the index of a target that was not removed, or NO_INDEX. */
static uint32_t
index_of(const struct calls *c, uint64_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(c->target_ids, &id)) - 1;
}

/* Reuses the element of a removed target without open tries, or adds one. */
static uint32_t
free_slot(struct calls *c)
{
	for (guint i = 0; i < c->targets->len; i++) {
		if (target_at(c, i)->removed && target_at(c, i)->open == 0)
			return i;
	}
	g_array_set_size(c->targets, c->targets->len + 1);
	return c->targets->len - 1;
}

void
calls_target_set(struct calls *c, const struct calls_target *t)
{
	uint32_t index = index_of(c, t->id);

	if (index != NO_INDEX) {
		target_at(c, index)->config.slots = t->slots;
		return;
	}
	index = free_slot(c);
	*target_at(c, index) = (struct target){ .config = *t };
	g_hash_table_insert(c->target_ids, g_memdup2(&t->id, sizeof(t->id)),
	    GUINT_TO_POINTER(index + 1));
	g_array_append_val(service_at(c, t->service)->targets, index);
}

void
calls_target_remove(struct calls *c, uint64_t id)
{
	uint32_t index = index_of(c, id);
	struct service *s;

	if (index == NO_INDEX)
		return;
	g_hash_table_remove(c->target_ids, &id);
	target_at(c, index)->removed = true;
	s = service_at(c, target_at(c, index)->config.service);
	for (guint i = 0; i < s->targets->len; i++) {
		if (g_array_index(s->targets, uint32_t, i) != index)
			continue;
		g_array_remove_index(s->targets, i);
		return;
	}
}

/* How many tries may be open to the service's targets, from their slots and
 * the entry's shares of the workers' connections. */
static int64_t
capacity(const struct calls *c, const struct service *s)
{
	int64_t sum = 0;

	for (guint i = 0; i < s->targets->len; i++) {
		const struct target *t =
		    target_at(c, g_array_index(s->targets, uint32_t, i));

		if (!t->ejected)
			sum += MIN(t->config.slots,
			    worker_at(c, t->config.worker)->share);
	}
	return MAX(sum, 1);
}

static int64_t
wait_ms(const struct calls *c, const struct service *s, int64_t ahead)
{
	return ahead * s->mean_us / capacity(c, s) / US_PER_MS;
}

int64_t
calls_expected_wait_ms(const struct calls *c, uint32_t service)
{
	struct service *s = service_at(c, service);

	return wait_ms(c, s, s->waiting.length + 1);
}

int64_t
calls_waiting(const struct calls *c, uint32_t service)
{
	return service_at(c, service)->waiting.length;
}

int64_t
calls_open_count(const struct calls *c, uint32_t worker)
{
	return worker_at(c, worker)->open;
}

bool
calls_ejected(const struct calls *c, uint64_t target)
{
	uint32_t index = index_of(c, target);

	return index != NO_INDEX && target_at(c, index)->ejected;
}

static uint32_t
call_new(struct calls *c, const struct calls_request *request)
{
	uint32_t handle;

	if (c->free_calls->len > 0) {
		handle = g_array_index(
		    c->free_calls, uint32_t, c->free_calls->len - 1);
		g_array_set_size(c->free_calls, c->free_calls->len - 1);
	} else {
		handle = c->calls->len;
		g_array_set_size(c->calls, handle + 1);
	}
	*call_at(c, handle) = (struct call){ .used = true,
		.request = *request,
		.target = NO_INDEX,
		.avoid = NO_INDEX };
	return handle;
}

/* Frees the call and returns the decision that ends it. */
static struct calls_decision
finish(struct calls *c, uint32_t handle, enum calls_reason reason)
{
	struct call *call = call_at(c, handle);
	struct calls_decision decision = {
		.action = call->reached ? CALLS_GIVE_UP : CALLS_REFUSE,
		.reason = reason,
		.call = handle
	};

	decision.retry_after_ms =
	    calls_expected_wait_ms(c, call->request.service);
	call->used = false;
	g_array_append_val(c->free_calls, handle);
	return decision;
}

static struct calls_decision
send_to(struct calls *c, uint32_t handle, uint32_t index, int64_t now_ms)
{
	struct call *call = call_at(c, handle);
	struct target *t = target_at(c, index);

	t->open++;
	t->probing = t->ejected;
	worker_at(c, t->config.worker)->open++;
	call->target = index;
	call->tries++;
	call->sent_ms = now_ms;
	return (struct calls_decision){
		.action = CALLS_SEND, .call = handle, .target = t->config.id
	};
}

/* Reports whether a call with so many waiting before it would miss its
 * deadline. */
static bool
too_late(const struct calls *c, const struct call *call, int64_t ahead,
    int64_t now_ms)
{
	struct service *s = service_at(c, call->request.service);
	int64_t took_us =
	    s->mean_us + c->policy.margin_deviations * s->deviation_us;
	int64_t end_ms = now_ms + wait_ms(c, s, ahead) + took_us / US_PER_MS;

	return c->policy.early_refusal && end_ms > call->request.deadline_ms;
}

/* Sends the call, queues it or ends it. */
static struct calls_decision
try_send(struct calls *c, uint32_t handle, int64_t now_ms)
{
	struct call *call = call_at(c, handle);
	struct service *s = service_at(c, call->request.service);
	uint32_t index;

	if (s->targets->len == 0)
		return finish(c, handle, CALLS_NO_TARGET);
	if (now_ms >= call->request.deadline_ms)
		return finish(c, handle, CALLS_TOO_LATE);
	/*
	 * A new call does not overtake waiting ones. A free target is used even
	 * if the call is expected to be late: otherwise an estimate that is too
	 * high would get no samples to correct it.
	 */
	index = s->waiting.length > 0
	    ? NO_INDEX
	    : choose_target(c, s, call->avoid, now_ms);
	if (index != NO_INDEX)
		return send_to(c, handle, index, now_ms);
	if (too_late(c, call, s->waiting.length, now_ms))
		return finish(c, handle, CALLS_TOO_LATE);
	if (s->waiting.length >= c->policy.queue_max)
		return finish(c, handle, CALLS_QUEUE_FULL);
	call->waiting = true;
	g_queue_push_tail(&s->waiting, GUINT_TO_POINTER(handle));
	return (struct calls_decision){ .action = CALLS_WAIT, .call = handle };
}

static struct calls_budget *
budget_of(const struct calls *c, uint32_t team)
{
	return table_at(c->budgets, team);
}

struct calls_decision
calls_begin(
    struct calls *c, const struct calls_request *request, int64_t now_ms)
{
	calls_budget_earn(budget_of(c, request->team), &c->policy);
	return try_send(c, call_new(c, request), now_ms);
}

/* Adds a sample to the smoothed mean and deviation of the service's times. */
static void
update_times(struct service *s, int64_t took_ms)
{
	int64_t error_us = took_ms * US_PER_MS - s->mean_us;

	s->mean_us += error_us / MEAN_SAMPLES;
	s->deviation_us += (ABS(error_us) - s->deviation_us) / MEAN_SAMPLES;
}

/* Updates the tables for the end of a try. */
static void
end_try(
    struct calls *c, struct call *call, enum calls_try_end end, int64_t now_ms)
{
	struct target *t = target_at(c, call->target);
	struct service *s = service_at(c, call->request.service);

	t->open--;
	worker_at(c, t->config.worker)->open--;
	call->avoid = call->target;
	call->target = NO_INDEX;
	if (end == CALLS_END_ANSWERED) {
		update_times(s, now_ms - call->sent_ms);
		target_answered(t);
	} else {
		target_failed(c, t, now_ms);
	}
}

/* Returns why a call must not be retried. If it may, returns CALLS_OK and takes
 * the retry from the team's budget. */
static enum calls_reason
retry_refusal(struct calls *c, const struct call *call, enum calls_try_end end,
    int64_t now_ms)
{
	if (end != CALLS_END_NOT_SENT && !call->request.idempotent)
		return CALLS_NOT_IDEMPOTENT;
	if (call->tries >= c->policy.tries_max)
		return CALLS_TRIES_USED;
	if (now_ms >= call->request.deadline_ms)
		return CALLS_TOO_LATE;
	if (!calls_budget_spend(budget_of(c, call->request.team), &c->policy))
		return CALLS_NO_BUDGET;
	return CALLS_OK;
}

struct calls_decision
calls_try_ended(
    struct calls *c, uint32_t handle, enum calls_try_end end, int64_t now_ms)
{
	struct call *call = call_at(c, handle);
	enum calls_reason reason;

	g_assert(call->used && call->target != NO_INDEX);
	call->reached = call->reached || end != CALLS_END_NOT_SENT;
	end_try(c, call, end, now_ms);
	if (end == CALLS_END_ANSWERED)
		return finish(c, handle, CALLS_OK);
	reason = retry_refusal(c, call, end, now_ms);
	if (reason != CALLS_OK)
		return finish(c, handle, reason);
	return try_send(c, handle, now_ms);
}

void
calls_abandon(struct calls *c, uint32_t handle, int64_t now_ms)
{
	struct call *call = call_at(c, handle);
	struct service *s = service_at(c, call->request.service);

	g_assert(call->used);
	if (call->waiting)
		g_queue_remove(&s->waiting, GUINT_TO_POINTER(handle));
	if (call->target != NO_INDEX) {
		/* No evidence about the target: it may be probed again. */
		target_at(c, call->target)->open--;
		target_at(c, call->target)->probing = false;
		worker_at(c, target_at(c, call->target)->config.worker)->open--;
	}
	finish(c, handle, CALLS_OK);
}

/* Decides on the first waiting call of a service; false if it has to wait. */
static bool
next_of(struct calls *c, struct service *s, int64_t now_ms,
    struct calls_decision *decision)
{
	uint32_t handle, index;
	struct call *call;

	if (s->waiting.length == 0)
		return false;
	handle = GPOINTER_TO_UINT(g_queue_peek_head(&s->waiting));
	call = call_at(c, handle);
	if (s->targets->len == 0 || too_late(c, call, 0, now_ms) ||
	    now_ms >= call->request.deadline_ms) {
		g_queue_pop_head(&s->waiting);
		call->waiting = false;
		*decision = finish(c, handle,
		    s->targets->len == 0 ? CALLS_NO_TARGET : CALLS_TOO_LATE);
		return true;
	}
	index = choose_target(c, s, call->avoid, now_ms);
	if (index == NO_INDEX)
		return false;
	g_queue_pop_head(&s->waiting);
	call->waiting = false;
	*decision = send_to(c, handle, index, now_ms);
	return true;
}

bool
calls_next(struct calls *c, int64_t now_ms, struct calls_decision *decision)
{
	for (guint i = 0; i < c->services->len; i++) {
		uint32_t service = c->next_service++ % c->services->len;

		if (next_of(c, service_at(c, service), now_ms, decision))
			return true;
	}
	return false;
}
