#include "api.h"

bool
api_parse_u64(const char *text, uint64_t *value)
{
	return g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, value, NULL);
}

bool
api_parse_task_id(const char *id, uint64_t *job, uint32_t *task)
{
	char **part = g_strsplit(id, ".", 3);
	guint64 number = 0;
	bool ok = g_strv_length(part) == 2 && api_parse_u64(part[0], job) &&
	    g_ascii_string_to_unsigned(
		part[1], 10, 0, UINT32_MAX, &number, NULL);

	g_strfreev(part);
	if (ok)
		*task = (uint32_t)number;
	return ok;
}
