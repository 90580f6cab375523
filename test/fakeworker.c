#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakeworker.h"

#define LIST_INTERVAL 10 /* heartbeats between two lists, at most */
#define HEARTBEAT_MS 500 /* interval until an entry sets another */
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 2000
#define TICK_MS 100 /* interval of on_tick() */
#define IDLE_CONNECTION_S 3600
#define BODY_MAX (1 << 20)

/* The process: its workers and record. */
struct program {
	struct fakeworker_conf conf;
	struct event_base *base;
	struct fakeworker *worker;
	FILE *record;
	struct event *tick;
	int64_t started_ms;
};

void
record(struct fakeworker *w, const char *event, const char *format, ...)
{
	json_error_t err;
	json_t *line;
	va_list ap;

	if (w->record == NULL)
		return;
	va_start(ap, format);
	line = json_vpack_ex(&err, 0, format, ap);
	va_end(ap);
	if (line == NULL)
		g_error("fakeworker: record %s: %s", event, err.text);
	if (json_object_get(line, "ms") == NULL)
		json_object_set_new(line, "ms", json_integer(mono_ms()));
	json_object_set_new(line, "worker", json_string(w->name));
	json_object_set_new(line, "event", json_string(event));
	json_dumpf(line, w->record, JSON_COMPACT);
	fputc('\n', w->record);
	fflush(w->record);
	json_decref(line);
}

const char *
pick_entry(struct fakeworker *w)
{
	return w->conf
	    ->entries[w->next_entry++ % g_strv_length(w->conf->entries)];
}

void
schedule_heartbeat(struct fakeworker *w, int64_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	event_add(w->heartbeat_timer, &tv);
}

bool
accept_epoch(struct fakeworker *w, int64_t epoch, const char *home)
{
	if (epoch < w->epoch)
		return false;
	if (epoch > w->epoch)
		record(w, "epoch", "{s:I,s:s?}", "epoch", (json_int_t)epoch,
		    "home", home);
	w->epoch = epoch;
	if (home != NULL && g_strcmp0(home, w->home) != 0) {
		g_free(w->home);
		w->home = g_strdup(home);
		if (w->heartbeat_entry != NULL)
			w->heartbeat_due = true;
		else
			schedule_heartbeat(w, 0);
	}
	return true;
}

/* Adds the worker's properties, for an entry that may not know it yet. */
static void
add_announcement(struct fakeworker *w, json_t *body)
{
	const struct fakeworker_conf *conf = w->conf;
	json_t *announcement =
	    json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:i}", "address",
		conf->announced_address != NULL ? conf->announced_address
						: w->address,
		"rack", conf->rack, "data_center", conf->data_center,
		"millicpus", (json_int_t)conf->millicpus, "memory_bytes",
		(json_int_t)conf->memory, "accelerators",
		(json_int_t)conf->accelerators, "slots", conf->slots,
		"connections", conf->connections);

	json_object_update(body, announcement);
	json_decref(announcement);
}

/* Applies home, epoch and lease of a heartbeat's reply. */
static void
apply_heartbeat_reply(struct fakeworker *w, const json_t *body)
{
	const char *home = json_string_value(json_object_get(body, "home"));
	const json_t *epoch = json_object_get(body, "epoch");
	const json_t *lease = json_object_get(body, "lease_ms");
	const json_t *heartbeat = json_object_get(body, "heartbeat_ms");
	bool current =
	    w->epoch != 0 && g_strcmp0(w->heartbeat_entry, w->home) == 0;

	if (json_is_integer(heartbeat) && json_integer_value(heartbeat) > 0)
		w->heartbeat_ms = json_integer_value(heartbeat);
	if (json_is_integer(epoch) && json_integer_value(epoch) > 0)
		current = accept_epoch(w, json_integer_value(epoch), home);
	else if (home != NULL && g_strcmp0(home, w->home) != 0) {
		/* The session of this home entry comes by POST /lease. */
		g_free(w->home);
		w->home = g_strdup(home);
		current = false;
	}
	if (!current || !json_is_integer(lease))
		return;
	w->lease_ms = json_integer_value(lease);
	renew_leases(w, w->heartbeat_sent_ms);
}

static void
on_heartbeat_reply(void *arg, int status, json_t *body)
{
	struct fakeworker *w = arg;
	int64_t wait;

	check_leases(w);
	if (status == 200) {
		w->failures = 0;
		if (w->sent_list_hash != 0) {
			w->acked_list_hash = w->sent_list_hash;
			w->heartbeats_without_list = 0;
		}
		apply_heartbeat_reply(w, body);
		wait = w->heartbeat_sent_ms + w->heartbeat_ms - mono_ms();
	} else {
		record(w, "no-answer", "{s:s,s:i}", "entry", w->heartbeat_entry,
		    "status", status);
		w->failures++;
		wait = MIN((int64_t)RETRY_BASE_MS << MIN(w->failures, 8),
		    RETRY_MAX_MS);
		wait = (int64_t)rng_below(&w->rng, (uint64_t)wait);
	}
	g_clear_pointer(&w->heartbeat_entry, g_free);
	schedule_heartbeat(w, w->heartbeat_due ? 0 : MAX(wait, 0));
	w->heartbeat_due = false;
}

/*
 * Adds the list of running attempts to an announcement, if it has changed, or
 * after LIST_INTERVAL heartbeats to update the usage.
 */
static void
add_running(struct fakeworker *w, json_t *body, bool announce)
{
	json_t *running = running_json(w);
	char *text = json_dumps(running, JSON_COMPACT);
	uint64_t hash = hash64(text, strlen(text));

	free(text);
	w->sent_list_hash = 0;
	if (!announce && hash == w->acked_list_hash &&
	    w->heartbeats_without_list + 1 < LIST_INTERVAL) {
		w->heartbeats_without_list++;
		json_decref(running);
		return;
	}
	w->sent_list_hash = hash;
	json_object_set_new(body, "running", running);
}

/*
 * Sends a heartbeat to the home entry; if that is not known or does not answer,
 * an announcement to the next entry.
 */
static void
on_heartbeat_timer(evutil_socket_t fd, short what, void *arg)
{
	struct fakeworker *w = arg;
	json_t *body;
	bool announce;

	check_leases(w);
	if (w->heartbeat_entry != NULL) {
		w->heartbeat_due = true;
		return;
	}
	announce = w->home == NULL || w->failures > 0;
	w->heartbeat_entry = g_strdup(announce ? pick_entry(w) : w->home);
	body = json_pack("{s:s,s:I,s:I}", "name", w->name, "incarnation",
	    (json_int_t)w->incarnation, "epoch", (json_int_t)w->epoch);
	add_running(w, body, announce);
	if (announce) {
		add_announcement(w, body);
		record(w, "announce", "{s:s,s:I,s:I,s:I,s:i}", "entry",
		    w->heartbeat_entry, "millicpus",
		    (json_int_t)w->conf->millicpus, "memory_bytes",
		    (json_int_t)w->conf->memory, "accelerators",
		    (json_int_t)w->conf->accelerators, "slots", w->conf->slots);
	}
	w->heartbeat_sent_ms = mono_ms();
	pool_send(w->pool, w->heartbeat_entry,
	    &(struct pool_request){
		.method = "POST", .path = "/v1/workers", .body = body },
	    on_heartbeat_reply, w);
	json_decref(body);
}

static void
on_lease_timer(evutil_socket_t fd, short what, void *arg)
{
	check_leases(arg);
}

static void
on_leave_reply(void *arg, int status, json_t *body)
{
	struct fakeworker *w = arg;

	check_leases(w);
	if (status == 200 || status == 202)
		w->leave_acked = true;
	record(w, "left", "{s:i}", "status", status);
}

static void
send_leave(struct fakeworker *w)
{
	char *path = g_strdup_printf("/v1/workers/%s", w->name);

	pool_send(w->pool, w->home != NULL ? w->home : pick_entry(w),
	    &(struct pool_request){ .method = "DELETE", .path = path },
	    on_leave_reply, w);
	g_free(path);
}

static void
on_term(evutil_socket_t fd, short what, void *arg)
{
	struct program *p = arg;

	for (int i = 0; i < p->conf.count; i++) {
		struct fakeworker *w = &p->worker[i];

		if (w->leaving)
			continue;
		check_leases(w);
		record(w, "leave", "{}");
		w->leaving = true;
		w->leaving_since_ms = mono_ms();
		send_leave(w);
	}
}

/*
 * Whether a leaving worker can exit: its tasks and calls have ended, and the
 * entries have acknowledged all ends and the leave. It waits drain_ms at most
 * for the latter and twice that for the ends. Also stops services after
 * drain_ms and repeats the leave request every second.
 */
static bool
is_leave_done(struct fakeworker *w)
{
	int64_t since = mono_ms() - w->leaving_since_ms;

	if (!w->leaving)
		return false;
	if (since > w->conf->drain_ms)
		stop_services(w);
	if (!w->leave_acked && since % 1000 < TICK_MS && since >= 1000)
		send_leave(w);
	if (w->running > 0 || w->calls > 0 || !all_ends_reported(w))
		return w->running == 0 && w->calls == 0 &&
		    since > 2L * w->conf->drain_ms;
	return w->leave_acked || since > w->conf->drain_ms;
}

/* Checks leases, exit_after_ms and whether all workers have left. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct program *p = arg;
	int64_t now = mono_ms();
	int done = 0;

	for (int i = 0; i < p->conf.count; i++) {
		struct fakeworker *w = &p->worker[i];

		check_leases(w);
		if (p->conf.exit_after_ms > 0 &&
		    now - p->started_ms >= p->conf.exit_after_ms)
			record(w, "vanish", "{}");
		done += is_leave_done(w);
	}
	if (p->conf.exit_after_ms > 0 &&
	    now - p->started_ms >= p->conf.exit_after_ms)
		_exit(0);
	if (done == p->conf.count)
		event_base_loopbreak(p->base);
}

/* Initialises the i-th worker; false if it can't listen on its address. */
static bool
worker_init(struct program *p, int i)
{
	struct fakeworker *w = &p->worker[i];
	char *ip;
	uint16_t port;
	bool ok;

	if (!address_split(p->conf.address, &ip, &port))
		return false;
	w->conf = &p->conf;
	w->base = p->base;
	w->record = p->record;
	w->rng.state = (uint64_t)p->conf.seed * 1000003 + (uint64_t)i;
	w->name = p->conf.count == 1
	    ? g_strdup(p->conf.name)
	    : g_strdup_printf("%s-%d", p->conf.name, i);
	w->address = g_strdup_printf("%s:%d", ip, port + i);
	w->incarnation = (uint64_t)p->conf.incarnation;
	if (w->incarnation == 0)
		w->incarnation = random_id() >> 1;
	w->attempts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, attempt_free);
	w->pool = pool_new(p->base, p->conf.request_timeout_ms);
	w->heartbeat_ms = HEARTBEAT_MS;
	w->leases_checked_ms = mono_ms();
	w->next_entry =
	    (guint)rng_below(&w->rng, g_strv_length(p->conf.entries));
	w->heartbeat_timer = event_new(p->base, -1, 0, on_heartbeat_timer, w);
	w->lease_timer = event_new(p->base, -1, 0, on_lease_timer, w);
	w->server = evhttp_new(p->base);
	evhttp_set_gencb(w->server, serve_request, w);
	evhttp_set_timeout(w->server, IDLE_CONNECTION_S);
	evhttp_set_max_body_size(w->server, BODY_MAX);
	ok = evhttp_bind_socket(w->server, ip, (uint16_t)(port + i)) == 0;
	if (!ok)
		g_printerr("fakeworker: can't listen on %s\n", w->address);
	g_free(ip);
	/* Spread the first announcements over one heartbeat interval. */
	schedule_heartbeat(w, (int64_t)i * HEARTBEAT_MS / p->conf.count);
	return ok;
}

static void
worker_clear(struct fakeworker *w)
{
	if (w->server == NULL)
		return;
	evhttp_free(w->server);
	pool_free(w->pool);
	g_hash_table_unref(w->attempts);
	event_free(w->heartbeat_timer);
	event_free(w->lease_timer);
	g_free(w->heartbeat_entry);
	g_free(w->home);
	g_free(w->name);
	g_free(w->address);
}

/* Runs the workers until SIGTERM; returns the exit status. */
static int
run(struct program *p)
{
	struct timeval tick = { 0, TICK_MS * 1000 };
	struct event *term;
	bool ok = true;

	p->base = event_base_new();
	p->worker = g_new0(struct fakeworker, p->conf.count);
	p->started_ms = mono_ms();
	for (int i = 0; ok && i < p->conf.count; i++)
		ok = worker_init(p, i);
	p->tick = event_new(p->base, -1, EV_PERSIST, on_tick, p);
	event_add(p->tick, &tick);
	term = evsignal_new(p->base, SIGTERM, on_term, p);
	event_add(term, NULL);
	if (ok) {
		puts("ready");
		fflush(stdout);
		event_base_dispatch(p->base);
	}
	event_free(term);
	event_free(p->tick);
	for (int i = 0; i < p->conf.count; i++)
		worker_clear(&p->worker[i]);
	event_base_free(p->base);
	g_free(p->worker);
	return ok ? 0 : 1;
}

static bool
parse_options(
    struct fakeworker_conf *conf, char **record_path, int *argc, char ***argv)
{
	char *entry = NULL;
	GOptionEntry options[] = {
		{ .long_name = "name",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &conf->name },
		{ .long_name = "address",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &conf->address },
		{ .long_name = "announce",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &conf->announced_address },
		{ .long_name = "entry",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &entry },
		{ .long_name = "rack",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &conf->rack },
		{ .long_name = "data-center",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &conf->data_center },
		{ .long_name = "millicpus",
		    .arg = G_OPTION_ARG_INT64,
		    .arg_data = &conf->millicpus },
		{ .long_name = "memory",
		    .arg = G_OPTION_ARG_INT64,
		    .arg_data = &conf->memory },
		{ .long_name = "accelerators",
		    .arg = G_OPTION_ARG_INT64,
		    .arg_data = &conf->accelerators },
		{ .long_name = "slots",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->slots },
		{ .long_name = "connections",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->connections },
		{ .long_name = "seed",
		    .arg = G_OPTION_ARG_INT64,
		    .arg_data = &conf->seed },
		{ .long_name = "incarnation",
		    .arg = G_OPTION_ARG_INT64,
		    .arg_data = &conf->incarnation },
		{ .long_name = "record",
		    .arg = G_OPTION_ARG_FILENAME,
		    .arg_data = record_path },
		{ .long_name = "fail-starts",
		    .arg = G_OPTION_ARG_NONE,
		    .arg_data = &conf->fail_starts },
		{ .long_name = "fail-tasks",
		    .arg = G_OPTION_ARG_NONE,
		    .arg_data = &conf->fail_tasks },
		{ .long_name = "lag-ms",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->usage_delay_ms },
		{ .long_name = "lie-usage",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->usage_percent },
		{ .long_name = "vanish-after-ms",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->exit_after_ms },
		{ .long_name = "answer-ms",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->request_timeout_ms },
		{ .long_name = "drain-ms",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->drain_ms },
		{ .long_name = "count",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &conf->count },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, argc, argv, &err);
	if (!ok)
		g_printerr("fakeworker: %s\n", err->message);
	g_clear_error(&err);
	g_option_context_free(context);
	if (ok &&
	    (conf->name == NULL || conf->address == NULL || entry == NULL)) {
		g_printerr("fakeworker: --name, --address and --entry are "
			   "required\n");
		ok = false;
	}
	if (conf->rack == NULL)
		conf->rack = g_strdup("rack-1");
	if (conf->data_center == NULL)
		conf->data_center = g_strdup("dc-1");
	if (entry != NULL)
		conf->entries = g_strsplit(entry, ",", -1);
	g_free(entry);
	return ok;
}

int
main(int argc, char **argv)
{
	struct program p = { .conf = {
				 .millicpus = 64000,
				 .memory = 128LL << 30,
				 .slots = 8,
				 .connections = 64,
				 .usage_percent = 100,
				 .request_timeout_ms = 1000,
				 .drain_ms = 10000,
				 .count = 1,
			     } };
	char *record_path = NULL;
	int status = 2;

	signal(SIGPIPE, SIG_IGN);
	if (parse_options(&p.conf, &record_path, &argc, &argv)) {
		if (record_path != NULL)
			p.record = fopen(record_path, "ae");
		status = run(&p);
	}
	if (p.record != NULL)
		fclose(p.record);
	g_strfreev(p.conf.entries);
	g_free(p.conf.name);
	g_free(p.conf.address);
	g_free(p.conf.announced_address);
	g_free(p.conf.rack);
	g_free(p.conf.data_center);
	g_free(record_path);
	return status;
}
