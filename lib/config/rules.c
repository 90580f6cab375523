#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "rules.h"

#define HOUR_MS (3600 * 1000LL)
#define DAY_MS (24 * HOUR_MS)
#define YEAR_S (366 * 24 * 3600LL)
#define KIB ((int64_t)1 << 10)
#define MIB ((int64_t)1 << 20)
#define GIB ((int64_t)1 << 30)
#define TIB ((int64_t)1 << 40)
#define HEARTBEAT_MS_MAX 2650
/* So that a silent worker is detected within 3 s, the check intervals of its
 * home and of the leader included. */
#define SUSPECT_MS_MAX 2700
#define TASK_CORES_MAX 1024
#define TASK_MEMORY_MAX (16 * TIB) /* bytes */
#define QUOTA_MAX 1000000000LL /* millicpus or accelerators */
#define QUOTA_MEMORY_MAX (16 * 1024 * TIB) /* bytes */
#define PAYLOAD_MAX (64 * KIB) /* bytes */
#define NAME_ALLOWED "1 to 63 of a-z, 0-9, '-', '.' and '_'"

static const char *const favour_names[] = { "waiting", "packing", NULL };
const char *const spread_names[] = { "none", "rack", "data-center", NULL };

#define POLICY(field) offsetof(struct config_policy, field)
#define TEAM(field) offsetof(struct config_team, field)
#define SERVICE(field) offsetof(struct config_service, field)

static const struct rule lease_rules[] = {
	{ "service", RULE_INT, .offset = POLICY(lease_ms[KIND_SERVICE]),
	    .min = 100, .max = DAY_MS },
	{ "batch", RULE_INT, .offset = POLICY(lease_ms[KIND_BATCH]), .min = 100,
	    .max = DAY_MS },
	{ "gang", RULE_INT, .offset = POLICY(lease_ms[KIND_GANG]), .min = 100,
	    .max = DAY_MS },
	{ .key = NULL },
};

static const struct rule stalled_rules[] = {
	{ "service", RULE_INT, .offset = POLICY(stalled_ms[KIND_SERVICE]),
	    .min = 1, .max = 366 * DAY_MS },
	{ "batch", RULE_INT, .offset = POLICY(stalled_ms[KIND_BATCH]), .min = 1,
	    .max = 366 * DAY_MS },
	{ "gang", RULE_INT, .offset = POLICY(stalled_ms[KIND_GANG]), .min = 1,
	    .max = 366 * DAY_MS },
	{ "urgent", RULE_INT, .offset = POLICY(stalled_urgent_ms), .min = 1,
	    .max = 366 * DAY_MS },
	{ .key = NULL },
};

const struct rule policy_rules[] = {
	{ "favour", RULE_ENUM, .offset = POLICY(favour),
	    .enum_names = favour_names },
	{ "heartbeat_ms", RULE_INT, .offset = POLICY(heartbeat_ms), .min = 20,
	    .max = HEARTBEAT_MS_MAX },
	{ "suspect_ms", RULE_INT, .offset = POLICY(suspect_ms), .min = 40,
	    .max = SUSPECT_MS_MAX },
	{ "lease_ms", RULE_MAP, .sub = lease_rules },
	{ "retries", RULE_INT, .offset = POLICY(retries), .min = 0,
	    .max = 100 },
	{ "key_retention_s", RULE_INT, .offset = POLICY(key_retention_s),
	    .min = 1, .max = YEAR_S },
	{ "job_retention_s", RULE_INT, .offset = POLICY(job_retention_s),
	    .min = 1, .max = YEAR_S },
	{ "grant_min_percent", RULE_INT, .offset = POLICY(grant_min_percent),
	    .min = 1, .max = 1000 },
	{ "grant_max_percent", RULE_INT, .offset = POLICY(grant_max_percent),
	    .min = 1, .max = 1000 },
	{ "pending_max", RULE_INT, .offset = POLICY(pending_max), .min = 1,
	    .max = 1000000 },
	{ "stalled_ms", RULE_MAP, .sub = stalled_rules },
	{ .key = NULL },
};

static const struct rule quota_rules[] = {
	{ "millicpus", RULE_INT, .offset = TEAM(quota.millicpus), .min = 1,
	    .max = QUOTA_MAX },
	{ "memory", RULE_MEMORY, .offset = TEAM(quota.memory), .min = 1,
	    .max = QUOTA_MEMORY_MAX },
	{ "accelerators", RULE_INT, .offset = TEAM(quota.accelerators),
	    .min = 0, .max = QUOTA_MAX },
	{ .key = NULL },
};

const struct rule team_rules[] = {
	{ "weight", RULE_INT, .offset = TEAM(weight), .min = 1, .max = 1000 },
	{ "quota", RULE_MAP, .sub = quota_rules },
	{ .key = NULL },
};

static const struct rule resource_rules[] = {
	{ "millicpus", RULE_INT, .required = true,
	    .offset = SERVICE(resources.millicpus), .min = 1,
	    .max = TASK_CORES_MAX * 1000 },
	{ "memory", RULE_MEMORY, .required = true,
	    .offset = SERVICE(resources.memory), .min = 1,
	    .max = TASK_MEMORY_MAX },
	{ "accelerators", RULE_INT, .offset = SERVICE(resources.accelerators),
	    .min = 0, .max = 1024 },
	{ .key = NULL },
};

const struct rule service_rules[] = {
	{ "team", RULE_NAME, .required = true, .offset = SERVICE(team) },
	{ "tasks", RULE_INT, .offset = SERVICE(tasks), .min = 1, .max = 10000 },
	{ "resources", RULE_MAP, .required = true, .sub = resource_rules },
	{ "spread", RULE_ENUM, .offset = SERVICE(spread),
	    .enum_names = spread_names },
	{ "data_centers", RULE_NAMES, .offset = SERVICE(data_centers) },
	{ "idempotent", RULE_BOOL, .offset = SERVICE(idempotent) },
	{ "call_timeout_ms", RULE_INT, .offset = SERVICE(call_timeout_ms),
	    .min = 1, .max = HOUR_MS },
	{ "payload", RULE_JSON, .offset = SERVICE(payload), .min = 0,
	    .max = PAYLOAD_MAX },
	{ .key = NULL },
};

/* Functions of a type. If field is NULL, read() only checks the value. */
struct rule_ops {
	bool (*read)(const struct rule *r, const struct node *n, void *field);
	char *(*allowed)(const struct rule *r);
	char *(*format)(const void *field, const struct rule *r);
};

static void
set_string(void *field, const char *text)
{
	char **s = field;

	if (s == NULL)
		return;
	g_free(*s);
	*s = g_strdup(text);
}

/* Reads decimal digits with an optional minus sign; *end is the rest. */
static bool
scan_number(const char *text, int64_t *value, const char **end)
{
	char *stop;

	if (!g_ascii_isdigit(*text) &&
	    !(*text == '-' && g_ascii_isdigit(text[1])))
		return false;
	errno = 0;
	*value = strtoll(text, &stop, 10);
	*end = stop;
	return errno == 0;
}

static bool
store_number(const struct rule *r, int64_t value, void *field)
{
	if (value < r->min || value > r->max)
		return false;
	if (field != NULL)
		*(int64_t *)field = value;
	return true;
}

static bool
int_read(const struct rule *r, const struct node *n, void *field)
{
	int64_t value;
	const char *end;

	return n->plain && scan_number(n->text, &value, &end) && *end == '\0' &&
	    store_number(r, value, field);
}

static char *
int_allowed(const struct rule *r)
{
	return g_strdup_printf("a whole number from %" G_GINT64_FORMAT
			       " to %" G_GINT64_FORMAT,
	    r->min, r->max);
}

static char *
int_format(const void *field, const struct rule *r)
{
	return g_strdup_printf("%" G_GINT64_FORMAT, *(const int64_t *)field);
}

/* Bytes per unit; 0: no such unit. */
static int64_t
unit_bytes(const char *unit)
{
	if (*unit == '\0')
		return 1;
	if (strcmp(unit, "KiB") == 0)
		return KIB;
	if (strcmp(unit, "MiB") == 0)
		return MIB;
	return strcmp(unit, "GiB") == 0 ? GIB : 0;
}

static bool
memory_read(const struct rule *r, const struct node *n, void *field)
{
	int64_t value;
	int64_t unit;
	const char *end;

	if (!scan_number(n->text, &value, &end))
		return false;
	if (*end == ' ')
		end++;
	unit = unit_bytes(end);
	if (unit == 0 || value < 0 || value > INT64_MAX / unit)
		return false;
	return store_number(r, value * unit, field);
}

static char *
memory_format(const void *field, const struct rule *r)
{
	int64_t value = *(const int64_t *)field;

	if (value != 0 && value % GIB == 0)
		return g_strdup_printf("%" G_GINT64_FORMAT "GiB", value / GIB);
	if (value != 0 && value % MIB == 0)
		return g_strdup_printf("%" G_GINT64_FORMAT "MiB", value / MIB);
	return g_strdup_printf("%" G_GINT64_FORMAT, value);
}

static char *
memory_allowed(const struct rule *r)
{
	struct rule copy = *r;
	char *min = memory_format(&copy.min, r);
	char *max = memory_format(&copy.max, r);
	char *s = g_strdup_printf(
	    "bytes, or a number with KiB, MiB or GiB, from %s to %s", min, max);

	g_free(min);
	g_free(max);
	return s;
}

static bool
bool_read(const struct rule *r, const struct node *n, void *field)
{
	bool value = strcmp(n->text, "true") == 0;

	if (!n->plain || (!value && strcmp(n->text, "false") != 0))
		return false;
	if (field != NULL)
		*(bool *)field = value;
	return true;
}

static char *
bool_allowed(const struct rule *r)
{
	return g_strdup("true or false");
}

static char *
bool_format(const void *field, const struct rule *r)
{
	return g_strdup(*(const bool *)field ? "true" : "false");
}

static bool
enum_read(const struct rule *r, const struct node *n, void *field)
{
	for (unsigned i = 0; r->enum_names[i] != NULL; i++) {
		if (strcmp(n->text, r->enum_names[i]) != 0)
			continue;
		if (field != NULL)
			*(unsigned *)field = i;
		return true;
	}
	return false;
}

static char *
enum_allowed(const struct rule *r)
{
	char *names = g_strjoinv(", ", (char **)r->enum_names);
	char *s = g_strconcat("one of: ", names, NULL);

	g_free(names);
	return s;
}

static char *
enum_format(const void *field, const struct rule *r)
{
	return g_strdup(r->enum_names[*(const unsigned *)field]);
}

static bool
name_valid(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len <= CONFIG_NAME_MAX &&
	    strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-._") == len;
}

static bool
name_read(const struct rule *r, const struct node *n, void *field)
{
	if (!name_valid(n->text))
		return false;
	set_string(field, n->text);
	return true;
}

static char *
name_allowed(const struct rule *r)
{
	return g_strdup("a name: " NAME_ALLOWED);
}

static char *
name_format(const void *field, const struct rule *r)
{
	const char *s = *(char *const *)field;

	return g_strdup(s == NULL ? "none" : s);
}

static bool
names_read(const struct rule *r, const struct node *n, void *field)
{
	GPtrArray *names = field == NULL ? NULL : *(GPtrArray **)field;

	for (guint i = 0; i < n->items->len; i++) {
		const struct node *item = n->items->pdata[i];

		if (item->type != NODE_SCALAR || !name_valid(item->text))
			return false;
	}
	if (names == NULL)
		return true;
	g_ptr_array_set_size(names, 0);
	for (guint i = 0; i < n->items->len; i++) {
		const struct node *item = n->items->pdata[i];

		g_ptr_array_add(names, g_strdup(item->text));
	}
	return true;
}

static char *
names_allowed(const struct rule *r)
{
	return g_strdup("a list of names: " NAME_ALLOWED);
}

static char *
names_format(const void *field, const struct rule *r)
{
	const GPtrArray *names = *(GPtrArray *const *)field;
	GString *s = g_string_new("[");

	for (guint i = 0; i < names->len; i++)
		g_string_append_printf(s, "%s%s", i == 0 ? "" : ", ",
		    (const char *)names->pdata[i]);
	g_string_append_c(s, ']');
	return g_string_free(s, FALSE);
}

static bool
json_read(const struct rule *r, const struct node *n, void *field)
{
	size_t len = strlen(n->text);
	json_t *value;

	if (len > (size_t)r->max)
		return false;
	value = json_loadb(
	    n->text, len, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
	if (value == NULL)
		return false;
	json_decref(value);
	set_string(field, n->text);
	return true;
}

static char *
json_allowed(const struct rule *r)
{
	return g_strdup_printf(
	    "JSON text of at most %" G_GINT64_FORMAT " bytes", r->max);
}

static const struct rule_ops ops[RULE_TYPE_COUNT] = {
	[RULE_INT] = { int_read, int_allowed, int_format },
	[RULE_MEMORY] = { memory_read, memory_allowed, memory_format },
	[RULE_BOOL] = { bool_read, bool_allowed, bool_format },
	[RULE_ENUM] = { enum_read, enum_allowed, enum_format },
	[RULE_NAME] = { name_read, name_allowed, name_format },
	[RULE_NAMES] = { names_read, names_allowed, names_format },
	[RULE_JSON] = { json_read, json_allowed, name_format },
};

static enum node_type
node_type_of(const struct rule *r)
{
	if (r->type == RULE_MAP)
		return NODE_MAP;
	return r->type == RULE_NAMES ? NODE_LIST : NODE_SCALAR;
}

static const struct rule *
rule_find(const struct rule *rules, const char *key)
{
	for (; rules->key != NULL; rules++) {
		if (strcmp(rules->key, key) == 0)
			return rules;
	}
	return NULL;
}

static char *
join(const char *path, const char *key)
{
	char *escaped = g_strescape(key, NULL);
	char *joined = g_strconcat(path, ".", escaped, NULL);

	g_free(escaped);
	return joined;
}

static char *
keys_allowed(const struct rule *rules)
{
	GString *s = g_string_new("one of the keys: ");

	for (size_t i = 0; rules[i].key != NULL; i++)
		g_string_append_printf(
		    s, "%s%s", i == 0 ? "" : ", ", rules[i].key);
	return g_string_free(s, FALSE);
}

/* Appends a fault of a node and marks it, so that later checks skip it. */
static void
value_fault(struct node *n, const char *path, char *allowed, GPtrArray *faults)
{
	n->invalid = true;
	fault_add(faults, n->file, n->line, path, node_format(n), allowed);
}

static void check_map(struct node *map, const struct rule *rules,
    const char *path, GPtrArray *faults);

static void
check_value(
    struct node *n, const struct rule *r, const char *path, GPtrArray *faults)
{
	if (n->type == NODE_NULL || n->invalid)
		return;
	if (n->type != node_type_of(r)) {
		value_fault(n, path,
		    r->type == RULE_MAP ? keys_allowed(r->sub)
					: ops[r->type].allowed(r),
		    faults);
		return;
	}
	if (r->type == RULE_MAP)
		check_map(n, r->sub, path, faults);
	else if (!ops[r->type].read(r, n, NULL))
		value_fault(n, path, ops[r->type].allowed(r), faults);
}

static void
check_map(struct node *map, const struct rule *rules, const char *path,
    GPtrArray *faults)
{
	for (guint i = 0; i < map->entries->len; i++) {
		const struct node_entry *e = map->entries->pdata[i];
		const struct rule *r = rule_find(rules, e->key);
		char *key = join(path, e->key);

		if (r != NULL)
			check_value(e->value, r, key, faults);
		else
			fault_add(faults, map->file, e->line, key,
			    g_strdup("an unknown key"), keys_allowed(rules));
		g_free(key);
	}
}

/* Checks a mapping of names to mappings, each of which follows the rules. */
static void
check_named(struct node *map, const struct rule *rules, const char *path,
    GPtrArray *faults)
{
	struct rule each = { .type = RULE_MAP, .sub = rules };

	for (guint i = 0; i < map->entries->len; i++) {
		const struct node_entry *e = map->entries->pdata[i];
		char *key = join(path, e->key);

		if (!name_valid(e->key))
			fault_add(faults, map->file, e->line, key,
			    g_strdup("an invalid name"),
			    g_strdup("a name: " NAME_ALLOWED));
		check_value(e->value, &each, key, faults);
		g_free(key);
	}
}

/* The top-level keys of a file. */
static const struct section {
	const char *key;
	const struct rule *rules;
	void (*check)(
	    struct node *, const struct rule *, const char *, GPtrArray *);
} sections[] = {
	{ "policy", policy_rules, check_map },
	{ "teams", team_rules, check_named },
	{ "services", service_rules, check_named },
};

static const struct section *
section_find(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		if (strcmp(sections[i].key, key) == 0)
			return &sections[i];
	}
	return NULL;
}

void
rules_check_file(struct node *root, GPtrArray *faults)
{
	for (guint i = 0; i < root->entries->len; i++) {
		const struct node_entry *e = root->entries->pdata[i];
		const struct section *s = section_find(e->key);
		char *key;

		if (s == NULL) {
			key = g_strescape(e->key, NULL);
			fault_add(faults, root->file, e->line, key,
			    g_strdup("an unknown key"),
			    g_strdup("one of the keys: policy, teams, "
				     "services"));
			g_free(key);
		} else if (e->value->type == NODE_MAP) {
			s->check(e->value, s->rules, e->key, faults);
		} else if (e->value->type != NODE_NULL) {
			value_fault(
			    e->value, e->key, g_strdup("a mapping"), faults);
		}
	}
}

void
rules_read(const struct node *map, const struct rule *rules, void *to)
{
	for (; rules->key != NULL; rules++) {
		const struct node *n = node_get(map, rules->key);

		if (n == NULL || n->invalid)
			continue;
		if (rules->type == RULE_MAP)
			rules_read(n, rules->sub, to);
		else if (n->type == node_type_of(rules))
			ops[rules->type].read(
			    rules, n, (char *)to + rules->offset);
	}
}

void
rules_check_required(const struct node *map, const struct rule *rules,
    const char *path, GPtrArray *faults)
{
	for (; rules->key != NULL; rules++) {
		const struct node *n = node_get(map, rules->key);
		char *key = join(path, rules->key);

		if (n == NULL && rules->required)
			fault_add(faults, map->file, map->line, key,
			    g_strdup("nothing"),
			    rules->type == RULE_MAP
				? keys_allowed(rules->sub)
				: ops[rules->type].allowed(rules));
		if (n != NULL && rules->type == RULE_MAP && !n->invalid)
			rules_check_required(n, rules->sub, key, faults);
		g_free(key);
	}
}

char *
rule_format(const struct rule *rule, const void *from)
{
	g_assert(rule->type != RULE_MAP);
	return ops[rule->type].format((const char *)from + rule->offset, rule);
}
