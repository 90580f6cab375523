/*
 * Configurations in force, and the services that they declare.
 *
 * A service whose declaration changes in more than its number of tasks gets a
 * new job. The older one loses its waiting tasks at once and one running task
 * for each task of the newer one that is assigned; so the change needs room
 * for one more task than before, and the older version keeps running while
 * there is none.
 */
#include "internal.h"

/* Joins the lines of all faults. */
static char *
fault_text(const GPtrArray *faults)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < faults->len; i++) {
		char *line = config_fault_line(g_ptr_array_index(faults, i));

		g_string_append_printf(text, "%s%s", i == 0 ? "" : "\n", line);
		g_free(line);
	}
	return g_string_free(text, FALSE);
}

struct config *
parse_texts(
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
		    g_strdup("a change must be numbered one above the version "
			     "in force"));
		res->version = c->config_version;
		res->author = g_strdup(cell_config_author(c));
		res->digest = g_strdup(cell_config_digest(c));
		return;
	}
	result_refuse(res, OUT_CONFLICT, "version-taken",
	    g_strdup("another change of this number was accepted first"));
	res->version = winner->version;
	res->author = g_strdup(winner->author);
	res->digest = g_strdup(winner->digest);
}

static void
set_in_force(struct cell *c, const struct cell_cmd *cmd, struct config *config,
    const char *digest)
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

/* The spec of a declared service; its parts belong to the configuration. */
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

/* A service's job before the one given; NULL if none is left. */
static struct job *
older(const struct cell *c, const struct job *j)
{
	return j->replaces == 0 ? NULL : find_job(c, j->replaces);
}

static void
stop_all(struct cell *c, struct job *j)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
}

static bool
stop_last(struct cell *c, struct job *j)
{
	for (uint32_t i = j->pub.spec.tasks; i-- > 0;) {
		if (j->pub.task[i].state != TASK_ASSIGNED)
			continue;
		stop_task(c, j, i);
		return true;
	}
	return false;
}

/* Stops one task of the oldest job that has any to stop. */
static bool
stop_oldest(struct cell *c, struct job *j)
{
	if (j == NULL)
		return false;
	return stop_oldest(c, older(c, j)) || stop_last(c, j);
}

void
retire_older(struct cell *c, struct job *j)
{
	if (j->held < j->pub.want) {
		stop_oldest(c, older(c, j));
		return;
	}
	for (struct job *o = older(c, j); o != NULL; o = older(c, o))
		stop_all(c, o);
}

static void
remove_service(struct cell *c, struct job *j)
{
	cancel_job(c, j);
	for (struct job *o = older(c, j); o != NULL; o = older(c, o))
		stop_all(c, o);
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
	withdraw_from(c, j, 0, cancelled_state);
	job_settle(c, j);
	c->watch.pending(c->watch_arg, &newer->pub, 0, spec->tasks);
}

static void
shrink_service(struct cell *c, struct job *j, uint32_t tasks)
{
	j->pub.want = tasks;
	withdraw_from(c, j, tasks, cancelled_state);
	for (uint32_t i = tasks; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
}

static void
grow_service(struct cell *c, struct job *j, uint32_t tasks)
{
	uint32_t before = j->pub.spec.tasks;
	uint32_t want = j->pub.want;

	j->pub.want = tasks;
	if (tasks > before) {
		j->pub.task = g_renew(struct cell_task, j->pub.task, tasks);
		memset(&j->pub.task[before], 0,
		    (tasks - before) * sizeof(struct cell_task));
		/* New ones count as ended until they are set to wait. */
		for (uint32_t i = before; i < tasks; i++)
			j->pub.task[i].state = TASK_CANCELLED;
		j->pub.spec.tasks = tasks;
	}
	for (uint32_t i = want; i < tasks; i++) {
		/* One that is stopping waits once it has ended. */
		if (task_held(j->pub.task[i].state))
			continue;
		task_set(c, j, i, TASK_PENDING);
		c->watch.pending(c->watch_arg, &j->pub, i, 1);
	}
}

static void
update_service(struct cell *c, struct job *j, const struct cell_spec *spec)
{
	if (!spec_equal_but_tasks(&j->pub.spec, spec))
		replace_service(c, j, spec);
	else if (spec->tasks < j->pub.want)
		shrink_service(c, j, spec->tasks);
	else if (spec->tasks > j->pub.want)
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

/* Brings the jobs of services in line with the configuration in force. */
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
	config = parse_texts(
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
		set_in_force(c, cmd, g_steal_pointer(&config), digest);
		res->author = g_strdup(cmd->u.config.author);
		res->digest = g_strdup(digest);
		c->watch.config(c->watch_arg);
		apply_services(c);
	}
	if (config != NULL)
		config_unref(config);
	g_free(faults);
	g_free(digest);
}
