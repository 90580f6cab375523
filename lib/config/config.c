#include <string.h>

#include "config.h"
#include "node.h"
#include "rules.h"

/* Least heartbeat intervals in a lease, so that it outlasts two lost ones. */
#define LEASE_HEARTBEATS 3
#define BASE_FILE "base.yaml"

static const struct config_policy default_policy = {
	.favour = FAVOUR_WAITING,
	.heartbeat_ms = 2000,
	.suspect_ms = 2600,
	.lease_ms = { [KIND_SERVICE] = 300000,
	    [KIND_BATCH] = 10000,
	    [KIND_GANG] = 10000 },
	.stalled_ms = { [KIND_SERVICE] = 60000,
	    [KIND_BATCH] = 3600000,
	    [KIND_GANG] = 3600000 },
	.stalled_urgent_ms = 5000,
	.retries = 3,
	.key_retention_s = 86400,
	.job_retention_s = 3600,
	.grant_min_percent = 100,
	.grant_max_percent = 100,
	.pending_max = 10000,
};

static const struct config_service default_service = {
	.tasks = 1,
	.spread = SPREAD_RACK,
	.call_timeout_ms = 30000,
};

static void
fault_free(void *p)
{
	struct config_fault *f = p;

	g_free(f->file);
	g_free(f->key);
	g_free(f->found);
	g_free(f->allowed);
	g_free(f);
}

GPtrArray *
config_faults_new(void)
{
	return g_ptr_array_new_with_free_func(fault_free);
}

char *
config_fault_format(const struct config_fault *fault)
{
	return g_strdup_printf("%s:%d: %s%sfound %s, allowed %s", fault->file,
	    fault->line, fault->key, *fault->key == '\0' ? "" : ": ",
	    fault->found, fault->allowed);
}

static void
team_free(void *p)
{
	struct config_team *t = p;

	g_free(t->name);
	g_free(t);
}

static void
service_free(void *p)
{
	struct config_service *s = p;

	g_free(s->name);
	g_free(s->team);
	g_free(s->payload);
	g_ptr_array_unref(s->data_centers);
	g_free(s);
}

struct config *
config_default(void)
{
	struct config *c = g_new0(struct config, 1);

	c->refs = 1;
	c->policy = default_policy;
	c->teams = g_ptr_array_new_with_free_func(team_free);
	c->services = g_ptr_array_new_with_free_func(service_free);
	return c;
}

struct config *
config_ref(struct config *c)
{
	c->refs++;
	return c;
}

void
config_unref(struct config *c)
{
	if (c == NULL || --c->refs > 0)
		return;
	g_ptr_array_unref(c->teams);
	g_ptr_array_unref(c->services);
	g_free(c);
}

/* Compares teams or services; the first member of both is their name. */
static int
by_name(const void *a, const void *b)
{
	const char *const *x = *(const char *const *const *)a;
	const char *const *y = *(const char *const *const *)b;

	return strcmp(*x, *y);
}

static void
read_teams(struct config *c, const struct node *teams)
{
	for (guint i = 0; teams != NULL && i < teams->entries->len; i++) {
		const struct node_entry *e = teams->entries->pdata[i];
		struct config_team *t = g_new0(struct config_team, 1);

		t->name = g_strdup(e->key);
		t->weight = 1;
		rules_read(e->value, team_rules, t);
		g_ptr_array_add(c->teams, t);
	}
	g_ptr_array_sort(c->teams, by_name);
}

static void
read_services(struct config *c, const struct node *services)
{
	for (guint i = 0; services != NULL && i < services->entries->len; i++) {
		const struct node_entry *e = services->entries->pdata[i];
		struct config_service *s = g_new0(struct config_service, 1);

		*s = default_service;
		s->name = g_strdup(e->key);
		s->data_centers = g_ptr_array_new_with_free_func(g_free);
		rules_read(e->value, service_rules, s);
		g_ptr_array_add(c->services, s);
	}
	g_ptr_array_sort(c->services, by_name);
}

/* A top-level mapping; NULL if it is absent or not a mapping. */
static const struct node *
section(const struct node *root, const char *key)
{
	const struct node *n = node_get(root, key);

	return n != NULL && n->type == NODE_MAP ? n : NULL;
}

static void
check_services(
    const struct node *services, const struct node *teams, GPtrArray *faults)
{
	for (guint i = 0; services != NULL && i < services->entries->len; i++) {
		const struct node_entry *e = services->entries->pdata[i];
		const struct node *team = node_get(e->value, "team");
		char *name = g_strescape(e->key, NULL);
		char *path = g_strconcat("services.", name, NULL);
		char *key = g_strconcat(path, ".team", NULL);

		if (!e->value->invalid)
			rules_check_required(
			    e->value, service_rules, path, faults);
		if (team != NULL && !team->invalid &&
		    node_get(teams, team->text) == NULL)
			fault_add(faults, team->file, team->line, key,
			    node_format(team),
			    g_strdup("a team defined under teams"));
		g_free(key);
		g_free(path);
		g_free(name);
	}
}

/*
 * Appends a fault of a policy value that conflicts with another one. Its line
 * is that of the value n if that is set, else that of the other. Appends
 * nothing if one of them already has a fault.
 */
static void
policy_fault(const struct node *n, const struct node *other, const char *key,
    int64_t value, char *allowed, GPtrArray *faults)
{
	const struct node *at = n != NULL ? n : other;

	if ((n != NULL && n->invalid) || (other != NULL && other->invalid)) {
		g_free(allowed);
		return;
	}
	fault_add(faults, at == NULL ? BASE_FILE : at->file,
	    at == NULL ? 0 : at->line, key,
	    g_strdup_printf("%" G_GINT64_FORMAT, value), allowed);
}

static void
check_leases(
    const struct config_policy *p, const struct node *policy, GPtrArray *faults)
{
	const struct node *heartbeat = node_get(policy, "heartbeat_ms");
	const struct node *leases = node_get(policy, "lease_ms");
	int64_t min = LEASE_HEARTBEATS * p->heartbeat_ms;

	for (int i = 0; i < KIND_COUNT; i++) {
		char *key = g_strconcat("policy.lease_ms.", kind_name(i), NULL);

		if (p->lease_ms[i] < min)
			policy_fault(node_get(leases, kind_name(i)), heartbeat,
			    key, p->lease_ms[i],
			    g_strdup_printf("at least %d heartbeat intervals, "
					    "%" G_GINT64_FORMAT " ms",
				LEASE_HEARTBEATS, min),
			    faults);
		g_free(key);
	}
}

static void
check_policy(
    const struct config_policy *p, const struct node *policy, GPtrArray *faults)
{
	check_leases(p, policy, faults);
	if (p->suspect_ms <= p->heartbeat_ms)
		policy_fault(node_get(policy, "suspect_ms"),
		    node_get(policy, "heartbeat_ms"), "policy.suspect_ms",
		    p->suspect_ms,
		    g_strdup_printf("more than heartbeat_ms, %" G_GINT64_FORMAT,
			p->heartbeat_ms),
		    faults);
	if (p->grant_min_percent > p->grant_max_percent)
		policy_fault(node_get(policy, "grant_min_percent"),
		    node_get(policy, "grant_max_percent"),
		    "policy.grant_min_percent", p->grant_min_percent,
		    g_strdup_printf(
			"at most grant_max_percent, %" G_GINT64_FORMAT,
			p->grant_max_percent),
		    faults);
}

/* Parses and checks one file; NULL if it has no usable tree. */
static struct node *
parse_file(const char *file, const struct config_text *text, GPtrArray *faults)
{
	struct node *root = node_parse(file, text->text, text->len, faults);

	if (root != NULL)
		rules_check_file(root, faults);
	return root;
}

static bool
site_valid(const char *site)
{
	return *site != '\0' && strlen(site) <= CONFIG_NAME_MAX &&
	    strspn(site,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789-._") == strlen(site);
}

/* Parses and merges one overlay; false if it has no usable tree. */
static bool
merge_overlay(
    struct node *merged, const struct config_text *overlay, GPtrArray *faults)
{
	char *site = g_strescape(overlay->name, NULL);
	char *file = g_strconcat("sites/", site, ".yaml", NULL);
	struct node *root = parse_file(file, overlay, faults);

	if (!site_valid(overlay->name))
		fault_add(faults, "sites", 0, "",
		    g_strdup_printf("\"%s\"", site),
		    g_strdup("a site name of 1 to 63 letters, digits, "
			     "'-', '.' and '_'"));
	if (root != NULL && merged != NULL)
		node_merge(merged, root);
	node_unref(root);
	g_free(file);
	g_free(site);
	return root != NULL;
}

/* Reads and checks the merged tree. */
static struct config *
read_merged(const struct node *merged, GPtrArray *faults)
{
	const struct node *policy = section(merged, "policy");
	const struct node *teams = section(merged, "teams");
	const struct node *services = section(merged, "services");
	struct config *c = config_default();

	if (policy != NULL)
		rules_read(policy, policy_rules, &c->policy);
	read_teams(c, teams);
	read_services(c, services);
	check_policy(&c->policy, policy, faults);
	check_services(services, teams, faults);
	return c;
}

struct config *
config_parse(const struct config_text *base, const struct config_text *overlays,
    size_t count, GPtrArray *faults)
{
	guint before = faults->len;
	struct node *merged = node_map_new(BASE_FILE, 1);
	struct node *root = parse_file(BASE_FILE, base, faults);
	struct config *c = NULL;
	bool all_parsed = root != NULL;

	if (root != NULL)
		node_merge(merged, root);
	node_unref(root);
	for (size_t i = 0; i < count; i++)
		all_parsed =
		    merge_overlay(merged, &overlays[i], faults) && all_parsed;
	if (all_parsed)
		c = read_merged(merged, faults);
	node_unref(merged);
	if (faults->len == before)
		return c;
	config_unref(c);
	return NULL;
}

static void
digest_text(GChecksum *sum, const char *name, const struct config_text *text)
{
	char *head = g_strdup_printf("%s\n%zu\n", name, text->len);

	g_checksum_update(sum, (const guchar *)head, -1);
	g_checksum_update(sum, (const guchar *)text->text, text->len);
	g_free(head);
}

char *
config_digest(const struct config_text *base,
    const struct config_text *overlays, size_t count)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char *digest;

	digest_text(sum, "", base);
	for (size_t i = 0; i < count; i++)
		digest_text(sum, overlays[i].name, &overlays[i]);
	digest = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return digest;
}

const char *
spread_name(enum spread spread)
{
	g_assert(spread <= SPREAD_DATA_CENTER);
	return spread_names[spread];
}

bool
spread_parse(const char *name, enum spread *spread)
{
	for (unsigned i = 0; spread_names[i] != NULL; i++) {
		if (strcmp(name, spread_names[i]) != 0)
			continue;
		*spread = i;
		return true;
	}
	return false;
}

const struct config_team *
config_team(const struct config *c, const char *name)
{
	for (guint i = 0; i < c->teams->len; i++) {
		const struct config_team *t = c->teams->pdata[i];

		if (strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

int64_t
config_shortest_lease(const struct config *c)
{
	int64_t ms = c->policy.lease_ms[0];

	for (int i = 1; i < KIND_COUNT; i++)
		ms = MIN(ms, c->policy.lease_ms[i]);
	return ms;
}
