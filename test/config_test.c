#include <string.h>

#include "config.h"

/* Parses a base and up to two overlays for the sites "a" and "b". */
static struct config *
parse(const char *base, const char *a, const char *b, GPtrArray *faults)
{
	struct config_text text = { "base.yaml", base, strlen(base) };
	struct config_text overlays[2] = { { "a", a, a ? strlen(a) : 0 },
		{ "b", b, b ? strlen(b) : 0 } };

	return config_parse(&text, overlays, (a != NULL) + (b != NULL), faults);
}

static struct config *
parse_good(const char *base, const char *a, const char *b)
{
	GPtrArray *faults = config_faults_new();
	struct config *c = parse(base, a, b, faults);

	for (guint i = 0; i < faults->len; i++)
		g_test_message("%s", config_fault_format(faults->pdata[i]));
	g_assert_nonnull(c);
	g_assert_cmpuint(faults->len, ==, 0);
	g_ptr_array_unref(faults);
	return c;
}

/* Parses an invalid configuration and returns its faults, one per line. */
static char *
parse_bad(const char *base, const char *a)
{
	GPtrArray *faults = config_faults_new();
	GString *s = g_string_new(NULL);

	g_assert_null(parse(base, a, NULL, faults));
	g_assert_cmpuint(faults->len, >, 0);
	for (guint i = 0; i < faults->len; i++) {
		char *line = config_fault_format(faults->pdata[i]);

		g_string_append_printf(s, "%s\n", line);
		g_free(line);
	}
	g_ptr_array_unref(faults);
	return g_string_free(s, FALSE);
}

#define DESK_CONFIG                                                      \
	"teams:\n  sales: {weight: 2, quota: {millicpus: 8000, memory: " \
	"8GiB}}\n"                                                       \
	"services:\n  desk:\n    team: sales\n    tasks: 3\n"            \
	"    resources: {millicpus: 500, memory: 256MiB}\n"              \
	"    data_centers: [tacoma, salem]\n"

static void
test_defaults(void)
{
	struct config *c = parse_good("", NULL, NULL);

	g_assert_cmpint(c->policy.favour, ==, FAVOUR_WAITING);
	g_assert_cmpint(c->policy.lease_ms[KIND_SERVICE], ==, 300000);
	g_assert_cmpint(c->policy.pending_max, ==, 10000);
	g_assert_cmpuint(c->services->len, ==, 0);
	config_unref(config_ref(c));
	config_unref(c);
	c = config_parse(&(struct config_text){ "base.yaml", NULL, 0 }, NULL, 0,
	    config_faults_new());
	g_assert_nonnull(c);
	config_unref(c);
}

static void
test_values(void)
{
	struct config *c = parse_good(
	    DESK_CONFIG "    payload: '{\"run_ms\": 5}'\n", NULL, NULL);
	const struct config_service *s = c->services->pdata[0];

	g_assert_cmpstr(s->name, ==, "desk");
	g_assert_cmpint(s->tasks, ==, 3);
	g_assert_cmpint(s->resources.memory, ==, 256 << 20);
	g_assert_cmpint(s->spread, ==, SPREAD_RACK);
	g_assert_cmpuint(s->data_centers->len, ==, 2);
	g_assert_cmpstr(s->payload, ==, "{\"run_ms\": 5}");
	g_assert_cmpint(config_team(c, "sales")->weight, ==, 2);
	g_assert_null(config_team(c, "print"));
	config_unref(c);
}

static void
test_merge(void)
{
	struct config *c = parse_good(DESK_CONFIG,
	    "services:\n  desk: {tasks: 5, data_centers: [spokane]}\n"
	    "  quote: {team: sales, resources: {millicpus: 1, memory: 1}}\n",
	    "services: {quote: null}\nteams: {sales: {weight: null}}\n");
	const struct config_service *s = c->services->pdata[0];

	g_assert_cmpuint(c->services->len, ==, 1);
	g_assert_cmpint(s->tasks, ==, 5);
	g_assert_cmpint(s->resources.millicpus, ==, 500);
	g_assert_cmpuint(s->data_centers->len, ==, 1);
	g_assert_cmpint(config_team(c, "sales")->weight, ==, 1);
	g_assert_cmpint(config_team(c, "sales")->quota.millicpus, ==, 8000);
	config_unref(c);
}

/* Invalid files and a text that their faults must contain. */
static const struct fault_case {
	const char *base;
	const char *overlay;
	const char *expected;
} fault_cases[] = {
	{ "polcy: {}\n", NULL, "base.yaml:1: polcy: found an unknown key" },
	{ DESK_CONFIG, "services:\n  desk:\n    task: 1\n",
	    "sites/a.yaml:3: services.desk.task: found an unknown key" },
	{ DESK_CONFIG, "services: {desk: {task: null}}\n",
	    "services.desk.task" },
	{ DESK_CONFIG, "services: {desk: {team: print}}\n",
	    "sites/a.yaml:1: services.desk.team: found \"print\", allowed a "
	    "team" },
	{ DESK_CONFIG, "teams: {sales: null}\n",
	    "base.yaml:5: services.desk.team" },
	{ DESK_CONFIG, "services: {desk: {tasks: 0}}\n",
	    "found \"0\", allowed a whole number from 1 to 10000" },
	{ DESK_CONFIG, "services: {desk: {tasks: '5'}}\n",
	    "services.desk.tasks" },
	{ DESK_CONFIG, "services: {desk: {tasks: 99999999999999999999}}\n",
	    "services.desk.tasks" },
	{ DESK_CONFIG, "services: {desk: {resources: {millicpus: -1}}}\n",
	    "services.desk.resources.millicpus" },
	{ DESK_CONFIG,
	    "services: {desk: {resources: {memory: 9999999999GiB}}}\n",
	    "services.desk.resources.memory" },
	{ DESK_CONFIG, "services: {desk: {resources: {memory: 1 TiB}}}\n",
	    "KiB, MiB or GiB" },
	{ DESK_CONFIG, "services: {desk: [1]}\n",
	    "services.desk: found a list" },
	{ DESK_CONFIG, "services: {desk: {resources: null}}\n",
	    "services.desk.resources: found nothing" },
	{ DESK_CONFIG, "services: {desk: {payload: '{'}}\n", "JSON text" },
	{ DESK_CONFIG, "services: {Desk: {}}\n",
	    "services.Desk: found an invalid name" },
	{ DESK_CONFIG, "services: {desk: {data_centers: [a b]}}\n",
	    "services.desk.data_centers" },
	{ DESK_CONFIG, "services: {desk: {spread: zone}}\n", "none, rack" },
	{ DESK_CONFIG, "services: {desk: {idempotent: yes}}\n",
	    "true or false" },
	{ "teams: {a: {}, a: {}}\n", NULL, "teams.a: found a duplicate key" },
	{ "teams: {}\n---\nteams: {}\n", NULL, "found a second document" },
	{ "teams: &x {}\n", NULL, "found an anchor" },
	{ "teams: {a: *x}\n", NULL, "teams.a: found an alias" },
	{ "teams: !!set {}\n", NULL, "found a tag" },
	{ "teams: {? [a] : b}\n", NULL, "not a scalar" },
	{ "teams: {a: \"\\x01\"}\n", NULL, "found a control character" },
	{ DESK_CONFIG, "services: {\"\\x01\": {}}\n",
	    "services.\\001.team: found" },
	{ "teams: \x01\n", NULL, "control characters are not allowed" },
	{ "teams: [\n", NULL, "base.yaml:2: " },
	{ "- a\n", NULL, "found a list, allowed a mapping" },
	{ "a: [[[[[[[[[[[[]]]]]]]]]]]]\n", NULL, "nested too deeply" },
	{ "policy: {heartbeat_ms: 2600, suspect_ms: 2700, "
	  "lease_ms: {batch: 7000}}\n",
	    NULL,
	    "policy.lease_ms.batch: found 7000, allowed at least 3 "
	    "heartbeat intervals, 7800 ms" },
	{ "policy: {lease_ms: {gang: 2999}}\n", NULL, "policy.lease_ms.gang" },
	{ "policy: {suspect_ms: 2701}\n", NULL, "from 40 to 2700" },
	{ "policy: {suspect_ms: 1000}\n", NULL, "policy.suspect_ms" },
	{ "policy: {grant_min_percent: 120}\n", NULL,
	    "policy.grant_min_percent: found 120, allowed at most" },
};

static void
test_faults(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		char *s =
		    parse_bad(fault_cases[i].base, fault_cases[i].overlay);

		if (strstr(s, fault_cases[i].expected) == NULL)
			g_error("case %zu: expected %s, got %s", i,
			    fault_cases[i].expected, s);
		g_free(s);
	}
}

/* Every fault of every file is reported, and no fault causes others. */
static void
test_all_faults(void)
{
	char *s =
	    parse_bad("policy: {heartbeat_ms: none, retries: -1}\n" DESK_CONFIG,
		"services:\n  desk: {team: Q, tasks: 0}\n  x: {team: print}\n");
	char **lines = g_strsplit(s, "\n", -1);

	g_test_message("%s", s);
	g_assert_cmpuint(g_strv_length(lines), ==, 6 + 1);
	g_strfreev(lines);
	g_free(s);
}

static void
test_size_bound(void)
{
	char *big = g_strnfill(1024 * 1024 + 1, '#');
	char *s = parse_bad(big, NULL);

	g_assert_nonnull(strstr(s, "at most 1048576 bytes"));
	g_free(s);
	g_free(big);
}

static void
test_digest(void)
{
	struct config_text base = { "base.yaml", "x", 1 };
	struct config_text a = { "a", "y", 1 };
	struct config_text b = { "b", "y", 1 };
	char *one = config_digest(&base, &a, 1);
	char *two = config_digest(&base, &b, 1);
	char *again = config_digest(&base, &a, 1);

	g_assert_cmpuint(strlen(one), ==, 64);
	g_assert_cmpstr(one, ==, again);
	g_assert_cmpstr(one, !=, two);
	g_free(one);
	g_free(two);
	g_free(again);
}

static void
test_diff(void)
{
	struct config *from = parse_good(DESK_CONFIG, NULL, NULL);
	struct config *to = parse_good(DESK_CONFIG,
	    "services: {desk: {tasks: 6, data_centers: [salem]},\n"
	    "  a: {team: sales, resources: {millicpus: 1, memory: 1}}}\n",
	    "policy: {favour: packing}\nteams: {b: {}}\n");
	GPtrArray *d = config_diff(from, to);
	GPtrArray *back = config_diff(to, from);
	GPtrArray *same = config_diff(to, to);

	g_assert_cmpuint(d->len, ==, 4);
	g_assert_cmpstr(d->pdata[0], ==, "~ policy: favour waiting -> packing");
	g_assert_true(g_str_has_prefix(d->pdata[1], "+ team b: weight 1"));
	g_assert_true(g_str_has_prefix(d->pdata[2], "+ service a: team sales"));
	g_assert_cmpstr(d->pdata[3], ==,
	    "~ service desk: tasks 3 -> 6, "
	    "data_centers [tacoma, salem] -> [salem]");
	g_assert_cmpstr(back->pdata[2], ==, "- service a");
	g_assert_cmpuint(same->len, ==, 0);
	g_ptr_array_unref(d);
	g_ptr_array_unref(back);
	g_ptr_array_unref(same);
	config_unref(from);
	config_unref(to);
}

static void
test_spread_names(void)
{
	enum spread spread;

	g_assert_true(spread_parse(spread_name(SPREAD_DATA_CENTER), &spread));
	g_assert_cmpint(spread, ==, SPREAD_DATA_CENTER);
	g_assert_false(spread_parse("zone", &spread));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/defaults", test_defaults);
	g_test_add_func("/config/values", test_values);
	g_test_add_func("/config/merge", test_merge);
	g_test_add_func("/config/faults", test_faults);
	g_test_add_func("/config/all-faults", test_all_faults);
	g_test_add_func("/config/size-bound", test_size_bound);
	g_test_add_func("/config/digest", test_digest);
	g_test_add_func("/config/diff", test_diff);
	g_test_add_func("/config/spread-names", test_spread_names);
	return g_test_run();
}
