/*
 * Configuration changes, and the services that a configuration declares.
 *
 * A service whose declaration changes in more than its number of tasks gets a
 * new job, as a rolling update. The pending tasks of the old job end at once;
 * its running tasks are stopped one by one, as tasks of the new job are
 * assigned. So the update needs resources for one task more than before, and
 * the old version keeps running while there are none.
 */
#include "internal.h"

/* Returns the messages of all faults, one per line. */
static char *
fault_text(const GPtrArray *faults)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < faults->len; i++) {
		char *line = config_fault_format(g_ptr_array_index(faults, i));

		g_string_append_printf(text, "%s%s", i == 0 ? "" : "\n", line);
		g_free(line);
	}
	return g_string_free(text, FALSE);
}

struct config *
parse_config_texts(
    const char *base, const GArray *overlays, char **faults, char **digest)
{
	struct config_text text = { "base.yaml", base, strlen(base) };
	struct config_text *more = g_new0(struct config_text, overlays->len);
	GPtrArray *found = config_faults_new();
	struct config *config;

	for (guint i = 0; i < overlays->len; i++) {
		struct cell_overlay *o =
		    &g_array_index(overlays, struct cell_overlay, i);

		more[i] =
		    (struct config_text){ o->site, o->text, strlen(o->text) };
	}
	config = config_parse(&text, more, overlays->len, found);
	if (config == NULL && faults != NULL)
		*faults = fault_text(found);
	if (digest != NULL)
		*digest = config_digest(&text, more, overlays->len);
	g_ptr_array_unref(found);
	g_free(more);
	return config;
}

static const struct version *
find_version(const struct cell *c, uint64_t version)
{
	for (guint i = c->history->len; i-- > 0;) {
		struct version *v =
		    &g_array_index(c->history, struct version, i);

		if (v->version == version)
			return v;
	}
	return NULL;
}

static void
refuse_version(
    struct cell *c, const struct version *winner, struct cell_result *res)
{
	if (winner == NULL) {
		result_refuse(res, OUT_CONFLICT, "version-not-next",
		    g_strdup("the version must be the current version "
			     "plus 1"));
		res->version = c->config_version;
		res->author = g_strdup(cell_config_author(c));
		res->digest = g_strdup(cell_config_digest(c));
		return;
	}
	result_refuse(res, OUT_CONFLICT, "version-taken",
	    g_strdup("another change with this version was accepted first"));
	res->version = winner->version;
	res->author = g_strdup(winner->author);
	res->digest = g_strdup(winner->digest);
}

static void
set_current_config(struct cell *c, const struct cell_cmd *cmd,
    struct config *config, const char *digest)
{
	struct version v = { .version = cmd->u.config.version,
		.digest = g_strdup(digest),
		.author = g_strdup(cmd->u.config.author) };

	config_unref(c->config);
	c->config = config;
	c->config_version = v.version;
	g_free(c->base);
	c->base = g_strdup(cmd->u.config.base);
	g_array_unref(c->overlays);
	c->overlays = overlays_copy(cmd->u.config.overlays);
	g_array_append_val(c->history, v);
	if (c->history->len > CONFIG_HISTORY_MAX)
		g_array_remove_index(c->history, 0);
}

/*
 * Returns a service's spec. Its strings and payload data belong to the
 * configuration; the caller releases only the payload reference.
 */
static struct cell_spec
service_spec(const struct config_service *s)
{
	return (struct cell_spec){
		.team = s->team,
		.name = s->name,
		.kind = KIND_SERVICE,
		.tasks = (uint32_t)s->tasks,
		.resources = s->resources,
		.idempotent = s->idempotent,
		.spread = s->spread,
		.data_centers = s->data_centers,
		.payload = s->payload == NULL
		    ? NULL
		    : g_bytes_new_static(s->payload, strlen(s->payload)),
	};
}

static const struct config_service *
find_service(const struct config *config, const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *s =
		    g_ptr_array_index(config->services, i);

		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

/* Returns the job that j replaces; NULL if there is none any more. */
static struct job *
older_job(const struct cell *c, const struct job *j)
{
	return j->replaces == 0 ? NULL : find_job(c, j->replaces);
}

static void
stop_all_tasks(struct cell *c, struct job *j)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
}

static bool
stop_last_task(struct cell *c, struct job *j)
{
	for (uint32_t i = j->pub.spec.tasks; i-- > 0;) {
		if (j->pub.task[i].state != TASK_ASSIGNED)
			continue;
		stop_task(c, j, i);
		return true;
	}
	return false;
}

/* Stops one task of the oldest version that has an assigned task. */
static bool
stop_oldest_task(struct cell *c, struct job *j)
{
	if (j == NULL)
		return false;
	return stop_oldest_task(c, older_job(c, j)) || stop_last_task(c, j);
}

void
advance_rolling_update(struct cell *c, struct job *j)
{
	if (j->running < j->pub.desired_tasks) {
		stop_oldest_task(c, older_job(c, j));
		return;
	}
	for (struct job *o = older_job(c, j); o != NULL; o = older_job(c, o))
		stop_all_tasks(c, o);
}

static void
remove_service(struct cell *c, struct job *j)
{
	cancel_job(c, j);
	for (struct job *o = older_job(c, j); o != NULL; o = older_job(c, o))
		stop_all_tasks(c, o);
}

static struct job *
add_service(struct cell *c, const struct cell_spec *spec)
{
	struct job *j = job_new(c, spec);

	j->pub.from_config = true;
	return j;
}

static void
replace_service(struct cell *c, struct job *j, const struct cell_spec *spec)
{
	struct job *newer = add_service(c, spec);

	newer->replaces = j->pub.id;
	j->pub.cancelled = true;
	withdraw_pending(c, j, 0, state_when_cancelled);
	maybe_end_job(c, j);
	c->watch.pending(c->watch_arg, &newer->pub, 0, spec->tasks);
}

static void
shrink_service(struct cell *c, struct job *j, uint32_t tasks)
{
	j->pub.desired_tasks = tasks;
	withdraw_pending(c, j, tasks, state_when_cancelled);
	for (uint32_t i = tasks; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
}

static void
grow_service(struct cell *c, struct job *j, uint32_t tasks)
{
	uint32_t before = j->pub.spec.tasks;
	uint32_t desired = j->pub.desired_tasks;

	j->pub.desired_tasks = tasks;
	if (tasks > before) {
		j->pub.task = g_renew(struct cell_task, j->pub.task, tasks);
		memset(&j->pub.task[before], 0,
		    (tasks - before) * sizeof(struct cell_task));
		/* Not counted as active until set_task_state() below. */
		for (uint32_t i = before; i < tasks; i++)
			j->pub.task[i].state = TASK_CANCELLED;
		j->pub.spec.tasks = tasks;
	}
	for (uint32_t i = desired; i < tasks; i++) {
		/* A stopping task becomes pending when its attempt ends. */
		if (task_is_running(j->pub.task[i].state))
			continue;
		set_task_state(c, j, i, TASK_PENDING);
		c->watch.pending(c->watch_arg, &j->pub, i, 1);
	}
}

static void
update_service(struct cell *c, struct job *j, const struct cell_spec *spec)
{
	if (!spec_equal_except_tasks(&j->pub.spec, spec))
		replace_service(c, j, spec);
	else if (spec->tasks < j->pub.desired_tasks)
		shrink_service(c, j, spec->tasks);
	else if (spec->tasks > j->pub.desired_tasks)
		grow_service(c, j, spec->tasks);
}

static gboolean
collect_service(gpointer id, gpointer value, gpointer data)
{
	struct job *j = value;

	if (j->pub.from_config && j->pub.state == JOB_ACTIVE &&
	    !j->pub.cancelled)
		g_ptr_array_add(data, j);
	return FALSE;
}

static struct job *
service_job(const GPtrArray *jobs, const char *name)
{
	for (guint i = 0; i < jobs->len; i++) {
		struct job *j = g_ptr_array_index(jobs, i);

		if (strcmp(j->pub.spec.name, name) == 0)
			return j;
	}
	return NULL;
}

/* Updates the jobs of services to match the current configuration. */
static void
apply_services(struct cell *c)
{
	GPtrArray *jobs = g_ptr_array_new();

	g_tree_foreach(c->jobs, collect_service, jobs);
	for (guint i = 0; i < jobs->len; i++) {
		struct job *j = g_ptr_array_index(jobs, i);
		const struct config_service *s =
		    find_service(c->config, j->pub.spec.name);

		if (s == NULL || s->tasks == 0)
			remove_service(c, j);
	}
	for (guint i = 0; i < c->config->services->len; i++) {
		const struct config_service *s =
		    g_ptr_array_index(c->config->services, i);
		struct cell_spec spec = service_spec(s);
		struct job *j = service_job(jobs, s->name);

		if (j != NULL && s->tasks > 0)
			update_service(c, j, &spec);
		else if (s->tasks > 0) {
			j = add_service(c, &spec);
			c->watch.pending(c->watch_arg, &j->pub, 0, spec.tasks);
		}
		if (spec.payload != NULL)
			g_bytes_unref(spec.payload);
	}
	g_ptr_array_unref(jobs);
}

void
apply_config(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	uint64_t version = cmd->u.config.version;
	const struct version *known = find_version(c, version);
	char *faults = NULL;
	char *digest = NULL;
	struct config *config;

	res->version = version;
	config = parse_config_texts(
	    cmd->u.config.base, cmd->u.config.overlays, &faults, &digest);
	if (known != NULL && strcmp(known->digest, digest) == 0) {
		res->author = g_strdup(known->author);
		res->digest = g_strdup(digest);
	} else if (known != NULL || version != c->config_version + 1) {
		refuse_version(c, known, res);
	} else if (config == NULL) {
		result_refuse(
		    res, OUT_INVALID, "bad-config", g_steal_pointer(&faults));
	} else {
		set_current_config(c, cmd, g_steal_pointer(&config), digest);
		res->author = g_strdup(cmd->u.config.author);
		res->digest = g_strdup(digest);
		c->watch.config_changed(c->watch_arg);
		apply_services(c);
	}
	if (config != NULL)
		config_unref(config);
	g_free(faults);
	g_free(digest);
}
