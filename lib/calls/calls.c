#include "internal.h"

#define US_PER_MS 1000
#define MEAN_WEIGHT 16 /* a new time counts for one part in so many */
#define FIRST_MEAN_US 1000 /* assumed until the first answer */

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

/* Tables grow to the handles that are used. */
static void *
at(GArray *table, uint32_t handle)
{
	if (handle >= table->len)
		g_array_set_size(table, handle + 1);
	return table->data + (gsize)handle * g_array_get_element_size(table);
}

struct worker *
worker_at(const struct calls *c, uint32_t worker)
{
	return at(c->workers, worker);
}

struct service *
service_at(const struct calls *c, uint32_t service)
{
	struct service *s = at(c->services, service);

	if (s->targets == NULL) {
		s->targets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		s->mean_us = FIRST_MEAN_US;
	}
	return s;
}

static struct call *
call_at(const struct calls *c, uint32_t call)
{
	return &g_array_index(c->calls, struct call, call);
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

/* The index of a target that is there, or NONE. */
static uint32_t
index_of(const struct calls *c, uint64_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(c->target_ids, &id)) - 1;
}

/* A place whose last try has ended, or a new one. */
static uint32_t
free_place(struct calls *c)
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

	if (index != NONE) {
		target_at(c, index)->pub.slots = t->slots;
		return;
	}
	index = free_place(c);
	*target_at(c, index) = (struct target){ .pub = *t };
	g_hash_table_insert(c->target_ids, g_memdup2(&t->id, sizeof(t->id)),
	    GUINT_TO_POINTER(index + 1));
	g_array_append_val(service_at(c, t->service)->targets, index);
}

void
calls_target_remove(struct calls *c, uint64_t id)
{
	uint32_t index = index_of(c, id);
	struct service *s;

	if (index == NONE)
		return;
	g_hash_table_remove(c->target_ids, &id);
	target_at(c, index)->removed = true;
	s = service_at(c, target_at(c, index)->pub.service);
	for (guint i = 0; i < s->targets->len; i++) {
		if (g_array_index(s->targets, uint32_t, i) != index)
			continue;
		g_array_remove_index(s->targets, i);
		return;
	}
}

/* Tries that the service's targets can have open by the entry's shares. */
static int64_t
capacity(const struct calls *c, const struct service *s)
{
	int64_t sum = 0;

	for (guint i = 0; i < s->targets->len; i++) {
		const struct target *t =
		    target_at(c, g_array_index(s->targets, uint32_t, i));

		if (!t->ejected)
			sum += MIN(
			    t->pub.slots, worker_at(c, t->pub.worker)->share);
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
calls_open(const struct calls *c, uint32_t worker)
{
	return worker_at(c, worker)->open;
}

bool
calls_ejected(const struct calls *c, uint64_t target)
{
	uint32_t index = index_of(c, target);

	return index != NONE && target_at(c, index)->ejected;
}

static uint32_t
call_new(struct calls *c, const struct calls_request *request)
{
	uint32_t call;

	if (c->free_calls->len > 0) {
		call = g_array_index(
		    c->free_calls, uint32_t, c->free_calls->len - 1);
		g_array_set_size(c->free_calls, c->free_calls->len - 1);
	} else {
		call = c->calls->len;
		g_array_set_size(c->calls, call + 1);
	}
	*call_at(c, call) = (struct call){
		.used = true, .request = *request, .target = NONE, .avoid = NONE
	};
	return call;
}

/* Frees the call; the step tells why it ends. */
static struct calls_decision
finish(struct calls *c, uint32_t call, enum calls_reason reason)
{
	struct call *k = call_at(c, call);
	struct calls_decision step = { .action = k->reached ? CALLS_GIVE_UP
							    : CALLS_REFUSE,
		.reason = reason,
		.call = call };

	step.retry_after_ms = calls_expected_wait_ms(c, k->request.service);
	k->used = false;
	g_array_append_val(c->free_calls, call);
	return step;
}

static struct calls_decision
send_to(struct calls *c, uint32_t call, uint32_t index, int64_t now_ms)
{
	struct call *k = call_at(c, call);
	struct target *t = target_at(c, index);

	t->open++;
	t->probing = t->ejected;
	worker_at(c, t->pub.worker)->open++;
	k->target = index;
	k->tries++;
	k->sent_ms = now_ms;
	return (struct calls_decision){
		.action = CALLS_SEND, .call = call, .target = t->pub.id
	};
}

/* Says whether the call would be answered too late behind so many others. */
static bool
too_late(
    const struct calls *c, const struct call *k, int64_t ahead, int64_t now_ms)
{
	struct service *s = service_at(c, k->request.service);
	int64_t took_us =
	    s->mean_us + c->policy.margin_deviations * s->deviation_us;
	int64_t end_ms = now_ms + wait_ms(c, s, ahead) + took_us / US_PER_MS;

	return c->policy.early_refusal && end_ms > k->request.deadline_ms;
}

/* Sends the call, lets it wait or ends it. */
static struct calls_decision
place(struct calls *c, uint32_t call, int64_t now_ms)
{
	struct call *k = call_at(c, call);
	struct service *s = service_at(c, k->request.service);
	uint32_t index;

	if (s->targets->len == 0)
		return finish(c, call, CALLS_NO_TARGET);
	if (now_ms >= k->request.deadline_ms)
		return finish(c, call, CALLS_TOO_LATE);
	/*
	 * None overtakes those that wait. A free target is used whatever time
	 * is expected: else an estimate that is too high would never mend.
	 */
	index = s->waiting.length > 0 ? NONE
				      : choose_target(c, s, k->avoid, now_ms);
	if (index != NONE)
		return send_to(c, call, index, now_ms);
	if (too_late(c, k, s->waiting.length, now_ms))
		return finish(c, call, CALLS_TOO_LATE);
	if (s->waiting.length >= c->policy.queue_max)
		return finish(c, call, CALLS_QUEUE_FULL);
	k->waiting = true;
	g_queue_push_tail(&s->waiting, GUINT_TO_POINTER(call));
	return (struct calls_decision){ .action = CALLS_WAIT, .call = call };
}

static struct calls_budget *
budget_of(const struct calls *c, uint32_t team)
{
	return at(c->budgets, team);
}

struct calls_decision
calls_begin(
    struct calls *c, const struct calls_request *request, int64_t now_ms)
{
	calls_budget_earn(budget_of(c, request->team), &c->policy);
	return place(c, call_new(c, request), now_ms);
}

/* Smooths the mean and the deviation of the service's times. */
static void
learn_time(struct service *s, int64_t took_ms)
{
	int64_t off_us = took_ms * US_PER_MS - s->mean_us;

	s->mean_us += off_us / MEAN_WEIGHT;
	s->deviation_us += (ABS(off_us) - s->deviation_us) / MEAN_WEIGHT;
}

/* Takes the try's end into the tables. */
static void
end_try(struct calls *c, struct call *k, enum calls_try_end how, int64_t now_ms)
{
	struct target *t = target_at(c, k->target);
	struct service *s = service_at(c, k->request.service);

	t->open--;
	worker_at(c, t->pub.worker)->open--;
	k->avoid = k->target;
	k->target = NONE;
	if (how == CALLS_END_ANSWERED) {
		learn_time(s, now_ms - k->sent_ms);
		target_answered(t);
	} else {
		target_failed(c, t, now_ms);
	}
}

/* Why a failed call gets no further try; CALLS_OK if it may get one. */
static enum calls_reason
no_retry(struct calls *c, const struct call *k, enum calls_try_end how,
    int64_t now_ms)
{
	if (how != CALLS_END_NOT_SENT && !k->request.idempotent)
		return CALLS_NOT_IDEMPOTENT;
	if (k->tries >= c->policy.tries_max)
		return CALLS_TRIES_USED;
	if (now_ms >= k->request.deadline_ms)
		return CALLS_TOO_LATE;
	if (!calls_budget_spend(budget_of(c, k->request.team), &c->policy))
		return CALLS_NO_BUDGET;
	return CALLS_OK;
}

struct calls_decision
calls_try_ended(
    struct calls *c, uint32_t call, enum calls_try_end how, int64_t now_ms)
{
	struct call *k = call_at(c, call);
	enum calls_reason reason;

	g_assert(k->used && k->target != NONE);
	k->reached = k->reached || how != CALLS_END_NOT_SENT;
	end_try(c, k, how, now_ms);
	if (how == CALLS_END_ANSWERED)
		return finish(c, call, CALLS_OK);
	reason = no_retry(c, k, how, now_ms);
	if (reason != CALLS_OK)
		return finish(c, call, reason);
	return place(c, call, now_ms);
}

void
calls_abandon(struct calls *c, uint32_t call, int64_t now_ms)
{
	struct call *k = call_at(c, call);
	struct service *s = service_at(c, k->request.service);

	g_assert(k->used);
	if (k->waiting)
		g_queue_remove(&s->waiting, GUINT_TO_POINTER(call));
	if (k->target != NONE) {
		/* Says nothing of the target: a probe may be tried again. */
		target_at(c, k->target)->open--;
		target_at(c, k->target)->probing = false;
		worker_at(c, target_at(c, k->target)->pub.worker)->open--;
	}
	finish(c, call, CALLS_OK);
}

/* The head of one service's queue, if something can be done with it. */
static bool
next_of(struct calls *c, struct service *s, int64_t now_ms,
    struct calls_decision *step)
{
	uint32_t call, index;
	struct call *k;

	if (s->waiting.length == 0)
		return false;
	call = GPOINTER_TO_UINT(g_queue_peek_head(&s->waiting));
	k = call_at(c, call);
	if (s->targets->len == 0 || too_late(c, k, 0, now_ms) ||
	    now_ms >= k->request.deadline_ms) {
		g_queue_pop_head(&s->waiting);
		k->waiting = false;
		*step = finish(c, call,
		    s->targets->len == 0 ? CALLS_NO_TARGET : CALLS_TOO_LATE);
		return true;
	}
	index = choose_target(c, s, k->avoid, now_ms);
	if (index == NONE)
		return false;
	g_queue_pop_head(&s->waiting);
	k->waiting = false;
	*step = send_to(c, call, index, now_ms);
	return true;
}

bool
calls_next(struct calls *c, int64_t now_ms, struct calls_decision *step)
{
	for (guint i = 0; i < c->services->len; i++) {
		uint32_t service = c->next_service++ % c->services->len;

		if (next_of(c, service_at(c, service), now_ms, step))
			return true;
	}
	return false;
}
