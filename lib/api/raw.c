#include <string.h>

#include "raw.h"

static bool
is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static const char *
skip_space(const char *p, const char *end)
{
	while (p < end && is_space(*p))
		p++;
	return p;
}

/* Skips a string; p is at its opening quote. */
static const char *
skip_string(const char *p, const char *end)
{
	for (p++; p < end && *p != '"'; p++) {
		if (*p == '\\')
			p++;
	}
	return p < end ? p + 1 : end;
}

static const char *
skip_nested(const char *p, const char *end)
{
	int depth = 0;

	while (p < end) {
		if (*p == '"') {
			p = skip_string(p, end);
			continue;
		}
		depth += *p == '{' || *p == '[';
		depth -= *p == '}' || *p == ']';
		p++;
		if (depth == 0)
			break;
	}
	return p;
}

static const char *
skip_value(const char *p, const char *end)
{
	if (p < end && *p == '"')
		return skip_string(p, end);
	if (p < end && (*p == '{' || *p == '['))
		return skip_nested(p, end);
	while (p < end && !is_space(*p) && *p != ',' && *p != ']' && *p != '}')
		p++;
	return p;
}

struct raw
raw_text(const void *text, size_t len)
{
	const char *end = (const char *)text + len;
	const char *p = skip_space(text, end);

	while (end > p && is_space(end[-1]))
		end--;
	return (struct raw){ p, (size_t)(end - p) };
}

/* Returns the next value and moves *p past it and the separator after it. */
static struct raw
next_value(const char **p, const char *end)
{
	const char *start = skip_space(*p, end);
	const char *stop = skip_value(start, end);

	*p = skip_space(stop, end);
	if (*p < end)
		(*p)++;
	return (struct raw){ start, (size_t)(stop - start) };
}

struct raw
raw_member(struct raw object, const char *key)
{
	const char *end = object.p + object.len;
	const char *p = object.p + 1;

	if (object.len < 2 || object.p[0] != '{')
		return (struct raw){ 0 };
	while (p < end) {
		struct raw name = next_value(&p, end);
		struct raw value = next_value(&p, end);

		if (name.len == strlen(key) + 2 &&
		    memcmp(name.p + 1, key, strlen(key)) == 0)
			return value;
	}
	return (struct raw){ 0 };
}

struct raw
raw_item(struct raw array, size_t n)
{
	const char *end = array.p + array.len;
	const char *p = array.p + 1;

	if (array.len < 2 || array.p[0] != '[')
		return (struct raw){ 0 };
	for (; n > 0 && p < end; n--)
		next_value(&p, end);
	return p < end ? next_value(&p, end) : (struct raw){ 0 };
}
