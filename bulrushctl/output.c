#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define COLUMN_GAP 2 /* spaces between columns */

void
print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
	putchar('\n');
}

/*
 * Formats a value for a table field: a string escaped, null and "" as "-",
 * others as JSON. Caller frees.
 */
static char *
field_text(const json_t *value)
{
	char *json;
	char *s;

	if (value == NULL || json_is_null(value) ||
	    g_strcmp0(json_string_value(value), "") == 0)
		return g_strdup("-");
	if (json_is_string(value))
		return g_strescape(json_string_value(value), NULL);
	json = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	s = g_strdup(json);
	free(json);
	return s;
}

/* Returns true for a list whose first element is an object. */
static bool
is_table(const json_t *value)
{
	return json_is_array(value) && json_is_object(json_array_get(value, 0));
}

/* Columns that come first, in this order, if a table has them. */
static const char *const first_columns[] = {
	"name",
	"task",
	"attempt",
	"team",
	"state",
	"status",
	"worker",
};

static bool
has_column(const GPtrArray *columns, const char *key)
{
	return g_ptr_array_find_with_equal_func(
	    (GPtrArray *)columns, key, g_str_equal, NULL);
}

/* The keys of all rows: first_columns, then the rest in order of appearance. */
static GPtrArray *
table_columns(const json_t *list)
{
	GPtrArray *found = g_ptr_array_new();
	GPtrArray *columns = g_ptr_array_new();
	size_t i;
	json_t *row;
	const char *key;
	json_t *value;

	json_array_foreach(list, i, row)
	{
		json_object_foreach(row, key, value)
		{
			if (!has_column(found, key))
				g_ptr_array_add(found, (char *)key);
		}
	}
	for (i = 0; i < G_N_ELEMENTS(first_columns); i++) {
		if (has_column(found, first_columns[i]))
			g_ptr_array_add(columns, (char *)first_columns[i]);
	}
	for (i = 0; i < found->len; i++) {
		if (!has_column(columns, found->pdata[i]))
			g_ptr_array_add(columns, found->pdata[i]);
	}
	g_ptr_array_unref(found);
	return columns;
}

static size_t
column_width(const json_t *list, const char *key)
{
	size_t width = g_utf8_strlen(key, -1);
	size_t i;
	json_t *row;

	json_array_foreach(list, i, row)
	{
		char *s = field_text(json_object_get(row, key));

		width = MAX(width, (size_t)g_utf8_strlen(s, -1));
		g_free(s);
	}
	return width;
}

/* Prints one field, padded with spaces unless it is the last of its row. */
static void
print_field(const char *s, size_t width, bool last)
{
	size_t len = g_utf8_strlen(s, -1);

	fputs(s, stdout);
	if (last)
		putchar('\n');
	else
		printf("%*s", (int)(width - len + COLUMN_GAP), "");
}

static void
print_header(const GPtrArray *columns, const size_t *widths)
{
	for (guint i = 0; i < columns->len; i++) {
		char *title = g_ascii_strup(columns->pdata[i], -1);

		print_field(title, widths[i], i + 1 == columns->len);
		g_free(title);
	}
}

static void
print_rows(const json_t *list)
{
	GPtrArray *columns = table_columns(list);
	size_t *widths = g_new(size_t, columns->len + 1);
	size_t row;
	json_t *object;

	for (guint i = 0; i < columns->len; i++)
		widths[i] = column_width(list, columns->pdata[i]);
	print_header(columns, widths);
	json_array_foreach(list, row, object)
	{
		for (guint i = 0; i < columns->len; i++) {
			char *s = field_text(
			    json_object_get(object, columns->pdata[i]));

			print_field(s, widths[i], i + 1 == columns->len);
			g_free(s);
		}
	}
	g_free(widths);
	g_ptr_array_unref(columns);
}

/* Adds an object's values to flat; those of nested objects as KEY.KEY. */
static void
flatten(json_t *flat, const char *prefix, const json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		char *path = g_strconcat(prefix, key, NULL);
		char *sub = g_strconcat(path, ".", NULL);

		if (json_is_object(value))
			flatten(flat, sub, value);
		else
			json_object_set(flat, path, value);
		g_free(sub);
		g_free(path);
	}
}

void
print_table(const json_t *list)
{
	json_t *flat = json_array();
	size_t i;
	json_t *row;

	json_array_foreach(list, i, row)
	{
		json_t *object = json_object();

		flatten(object, "", row);
		json_array_append_new(flat, object);
	}
	print_rows(flat);
	json_decref(flat);
}

static size_t
scalars_width(const json_t *object)
{
	size_t width = 0;
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		if (!is_table(value))
			width = MAX(width, (size_t)g_utf8_strlen(key, -1));
	}
	return width;
}

void
print_object(const json_t *nested)
{
	json_t *object = json_object();
	size_t width;
	const char *key;
	json_t *value;

	flatten(object, "", nested);
	width = scalars_width(object);
	json_object_foreach(object, key, value)
	{
		char *s;

		if (is_table(value))
			continue;
		s = field_text(value);
		print_field(key, width, false);
		puts(s);
		g_free(s);
	}
	json_object_foreach(object, key, value)
	{
		if (!is_table(value))
			continue;
		printf("\n%s:\n", key);
		print_table(value);
	}
	json_decref(object);
}
