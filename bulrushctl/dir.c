/* Configuration folders: base.yaml and the overlays in sites/. */
#include <string.h>

#include "ctl.h"

#define BASE_FILE "base.yaml"
#define SUFFIX ".yaml"

static void
text_free(void *p)
{
	struct config_text *t = p;

	g_free((char *)t->name);
	g_free((char *)t->text);
	g_free(t);
}

static struct dir *
dir_new(void)
{
	struct dir *d = g_new0(struct dir, 1);

	d->files = g_ptr_array_new_with_free_func(text_free);
	return d;
}

void
dir_free(struct dir *dir)
{
	if (dir == NULL)
		return;
	g_ptr_array_unref(dir->files);
	g_free(dir);
}

/* Adds a file; takes ownership of name and text. */
static void
dir_add(struct dir *dir, char *name, char *text, size_t len)
{
	struct config_text *t = g_new0(struct config_text, 1);

	*t = (struct config_text){ name, text, len };
	g_ptr_array_add(dir->files, t);
}

/* Reads and adds a file; takes ownership of name. False after an error. */
static bool
add_file(struct dir *dir, const char *path, char *name)
{
	GError *err = NULL;
	char *text;
	size_t len;

	if (g_file_get_contents(path, &text, &len, &err)) {
		dir_add(dir, name, text, len);
		return true;
	}
	ctl_error("%s", err->message);
	g_error_free(err);
	g_free(name);
	return false;
}

static int
compare_strings(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the names of the overlay files in a folder, sorted. */
static GPtrArray *
list_sites(const char *path)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *d = g_dir_open(path, 0, NULL);
	const char *name;

	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		if (*name != '.' && g_str_has_suffix(name, SUFFIX))
			g_ptr_array_add(names, g_strdup(name));
	}
	if (d != NULL)
		g_dir_close(d);
	g_ptr_array_sort(names, compare_strings);
	return names;
}

static bool
add_sites(struct dir *dir, const char *path)
{
	GPtrArray *names = list_sites(path);
	bool ok = true;

	for (guint i = 0; ok && i < names->len; i++) {
		const char *name = names->pdata[i];
		char *file = g_build_filename(path, name, NULL);

		ok = add_file(
		    dir, file, g_strndup(name, strlen(name) - strlen(SUFFIX)));
		g_free(file);
	}
	g_ptr_array_unref(names);
	return ok;
}

struct dir *
dir_load(const char *path)
{
	struct dir *dir = dir_new();
	char *base = g_build_filename(path, BASE_FILE, NULL);
	char *sites = g_build_filename(path, "sites", NULL);

	if (!add_file(dir, base, g_strdup(BASE_FILE)) ||
	    !add_sites(dir, sites)) {
		dir_free(dir);
		dir = NULL;
	}
	g_free(base);
	g_free(sites);
	return dir;
}

struct dir *
dir_from_reply(const json_t *body)
{
	struct dir *dir = dir_new();
	const char *base = json_string_value(json_object_get(body, "base"));
	json_t *overlays = json_object_get(body, "overlays");
	GPtrArray *names = g_ptr_array_new();
	const char *site;
	json_t *text;

	base = base == NULL ? "" : base;
	dir_add(dir, g_strdup(BASE_FILE), g_strdup(base), strlen(base));
	json_object_foreach(overlays, site, text)
	    g_ptr_array_add(names, (char *)site);
	g_ptr_array_sort(names, compare_strings);
	for (guint i = 0; i < names->len; i++) {
		const char *s = json_string_value(
		    json_object_get(overlays, names->pdata[i]));

		s = s == NULL ? "" : s;
		dir_add(dir, g_strdup(names->pdata[i]), g_strdup(s), strlen(s));
	}
	g_ptr_array_unref(names);
	return dir;
}

const struct config_text *
dir_base(const struct dir *dir)
{
	return dir->files->pdata[0];
}

/* Copies the overlays into one array, as lib/config expects them. */
static struct config_text *
overlay_array(const struct dir *dir, size_t *count)
{
	struct config_text *t = g_new0(struct config_text, dir->files->len);

	*count = dir->files->len - 1;
	for (size_t i = 0; i < *count; i++)
		t[i] = *(struct config_text *)dir->files->pdata[i + 1];
	return t;
}

char *
dir_digest(const struct dir *dir)
{
	size_t count;
	struct config_text *overlays = overlay_array(dir, &count);
	char *digest = config_digest(dir_base(dir), overlays, count);

	g_free(overlays);
	return digest;
}

struct config *
dir_parse(const struct dir *dir, GPtrArray *faults)
{
	size_t count;
	struct config_text *overlays = overlay_array(dir, &count);
	struct config *c = config_parse(dir_base(dir), overlays, count, faults);

	g_free(overlays);
	return c;
}

static json_t *
fault_json(const struct config_fault *f)
{
	return json_pack("{s:s,s:i,s:s,s:s,s:s}", "file", f->file, "line",
	    f->line, "key", f->key, "found", f->found, "allowed", f->allowed);
}

static void
print_faults(struct ctl *ctl, const GPtrArray *faults)
{
	json_t *list = json_array();
	json_t *body;

	for (guint i = 0; i < faults->len; i++) {
		char *line = config_fault_format(faults->pdata[i]);

		ctl_error("%s", line);
		json_array_append_new(list, fault_json(faults->pdata[i]));
		g_free(line);
	}
	body = json_pack("{s:s,s:s,s:o}", "outcome", "invalid", "reason",
	    "config", "faults", list);
	if (ctl->json)
		print_json(body);
	json_decref(body);
}

struct config *
dir_parse_print(struct ctl *ctl, const struct dir *dir)
{
	GPtrArray *faults = config_faults_new();
	struct config *c = dir_parse(dir, faults);

	if (c == NULL)
		print_faults(ctl, faults);
	g_ptr_array_unref(faults);
	return c;
}
