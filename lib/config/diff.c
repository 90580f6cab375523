#include <string.h>

#include "config.h"
#include "rules.h"

/* Appends "KEY OLD -> NEW" for each field that differs; if from is NULL,
 * "KEY VALUE" for each field. */
static void
append_fields(GString *s, const struct rule *rules, const char *prefix,
    const void *from, const void *to)
{
	for (; rules->key != NULL; rules++) {
		char *key = g_strconcat(prefix, rules->key, NULL);

		if (rules->type == RULE_MAP) {
			char *sub = g_strconcat(key, ".", NULL);

			append_fields(s, rules->sub, sub, from, to);
			g_free(sub);
		} else {
			char *old =
			    from == NULL ? NULL : rule_format(rules, from);
			char *new = rule_format(rules, to);

			if (old == NULL)
				g_string_append_printf(s, "%s%s %s",
				    s->len == 0 ? "" : ", ", key, new);
			else if (strcmp(old, new) != 0)
				g_string_append_printf(s, "%s%s %s -> %s",
				    s->len == 0 ? "" : ", ", key, old, new);
			g_free(old);
			g_free(new);
		}
		g_free(key);
	}
}

static void
add_line(GPtrArray *lines, const char *sign, const char *type, const char *name,
    const struct rule *rules, const void *from, const void *to)
{
	GString *s = g_string_new(NULL);

	append_fields(s, rules, "", from, to);
	if (s->len > 0)
		g_ptr_array_add(lines,
		    g_strdup_printf("%s %s%s%s: %s", sign, type,
			*name == '\0' ? "" : " ", name, s->str));
	g_string_free(s, TRUE);
}

/* Rows are teams or services, sorted by name, which is the first member. */
static const char *
row_name(const GPtrArray *rows, guint i)
{
	return i < rows->len ? *(char *const *)rows->pdata[i] : NULL;
}

static void
diff_rows(GPtrArray *lines, const char *type, const struct rule *rules,
    const GPtrArray *from, const GPtrArray *to)
{
	guint i = 0;
	guint j = 0;

	while (i < from->len || j < to->len) {
		const char *old = row_name(from, i);
		const char *new = row_name(to, j);
		int order = old == NULL ? 1
		    : new == NULL       ? -1
					: strcmp(old, new);

		if (order < 0)
			g_ptr_array_add(
			    lines, g_strdup_printf("- %s %s", type, old));
		else if (order > 0)
			add_line(
			    lines, "+", type, new, rules, NULL, to->pdata[j]);
		else
			add_line(lines, "~", type, new, rules, from->pdata[i],
			    to->pdata[j]);
		i += order <= 0;
		j += order >= 0;
	}
}

GPtrArray *
config_diff(const struct config *from, const struct config *to)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	add_line(
	    lines, "~", "policy", "", policy_rules, &from->policy, &to->policy);
	diff_rows(lines, "team", team_rules, from->teams, to->teams);
	diff_rows(
	    lines, "service", service_rules, from->services, to->services);
	return lines;
}
