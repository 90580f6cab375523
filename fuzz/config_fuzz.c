/*
 * Fuzzes config_parse() with a base file and overlays, separated by lines "%%".
 * A valid configuration must not differ from itself; an invalid one must have
 * printable faults.
 */
#include <string.h>

#include "config.h"
#include "fuzz.h"

#define PARTS_MAX 8
#define SEPARATOR "\n%%\n"

/* Splits the input at the separators; returns the number of parts. */
static size_t
split(const uint8_t *data, size_t size, struct config_text *parts)
{
	static const char *const sites[PARTS_MAX] = { "base.yaml", "a", "b",
		"c", "d", "e", "f", "g" };
	const char *start = (const char *)data;
	size_t remaining = size;
	size_t n = 0;
	const char *end;

	while (n < PARTS_MAX - 1 && remaining > 0 &&
	    (end = memmem(start, remaining, SEPARATOR, strlen(SEPARATOR))) !=
		NULL) {
		parts[n] = (struct config_text){ sites[n], start, end - start };
		n++;
		remaining -= end - start + strlen(SEPARATOR);
		start = end + strlen(SEPARATOR);
	}
	parts[n] = (struct config_text){ sites[n], start, remaining };
	return n + 1;
}

static void
check_faults(const GPtrArray *faults)
{
	g_assert_cmpuint(faults->len, >, 0);
	for (guint i = 0; i < faults->len; i++) {
		char *line = config_fault_format(faults->pdata[i]);

		for (const char *s = line; *s != '\0'; s++)
			g_assert_false(g_ascii_iscntrl(*s));
		g_free(line);
	}
}

static void
check_config(struct config *c)
{
	struct config *before = config_default();
	GPtrArray *same = config_diff(c, c);

	g_assert_cmpuint(same->len, ==, 0);
	g_ptr_array_unref(same);
	g_ptr_array_unref(config_diff(before, c));
	g_ptr_array_unref(config_diff(c, before));
	config_unref(before);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct config_text parts[PARTS_MAX];
	size_t count = split(data, size, parts);
	GPtrArray *faults = config_faults_new();
	struct config *c =
	    config_parse(&parts[0], &parts[1], count - 1, faults);

	if (c == NULL)
		check_faults(faults);
	else
		check_config(c);
	config_unref(c);
	g_ptr_array_unref(faults);
	return 0;
}
