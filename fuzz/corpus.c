/*
 * Runs a fuzz target once on every file of a directory, in order of their
 * names. Every test run does this for each target's corpus.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "fuzz.h"

static int
by_name(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static GPtrArray *
list_files(const char *path)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL)
		g_ptr_array_add(names, g_build_filename(path, name, NULL));
	if (dir != NULL)
		g_dir_close(dir);
	g_ptr_array_sort(names, by_name);
	return names;
}

/* Copies to a block of the exact size, so that sanitizers detect a read past
 * its end. */
static void
run_file(const char *file)
{
	char *data;
	gsize len;
	uint8_t *exact;

	if (!g_file_get_contents(file, &data, &len, NULL))
		g_error("corpus: cannot read %s", file);
	exact = g_memdup2(data, len);
	LLVMFuzzerTestOneInput(exact, len);
	g_free(exact);
	g_free(data);
}

int
main(int argc, char **argv)
{
	GPtrArray *files = list_files(argc > 1 ? argv[1] : ".");
	guint count = files->len;

	for (guint i = 0; i < count; i++)
		run_file(files->pdata[i]);
	g_ptr_array_unref(files);
	printf("corpus: %u files\n", count);
	return count == 0;
}
