/*
 * Parses configuration changes.
 */
#include <string.h>

#include "fields.h"

static const char *const config_keys[] = { "version", "author", "base",
	"overlays", NULL };

static void
clear_overlay(void *p)
{
	struct cell_overlay *o = p;

	g_free(o->site);
	g_free(o->text);
}

static gint
by_site(gconstpointer a, gconstpointer b)
{
	const struct cell_overlay *x = a;
	const struct cell_overlay *y = b;

	return strcmp(x->site, y->site);
}

/* Reads {SITE: TEXT, ...}; sorts the overlays by site. */
static void
read_overlays(struct object *parent, GArray *overlays)
{
	struct object o = read_object(parent, "overlays", "overlays.");
	const char *site;
	json_t *text;

	json_object_foreach(o.json, site, text)
	{
		struct cell_overlay overlay;

		if (*site == '\0' || strlen(site) > CONFIG_NAME_MAX ||
		    !json_is_string(text)) {
			report_fault(&o, site, text,
			    "a site name of 1 to %d bytes with "
			    "the overlay's text",
			    CONFIG_NAME_MAX);
			continue;
		}
		overlay.site = g_strdup(site);
		overlay.text = g_strdup(json_string_value(text));
		g_array_append_val(overlays, overlay);
	}
	g_array_sort(overlays, by_site);
}

bool
api_parse_config(
    const void *body, size_t len, struct api_config *config, GError **err)
{
	struct body b;
	struct object *o = &b.root;
	json_t *base;

	*config = (struct api_config){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	config->overlays =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_overlay));
	g_array_set_clear_func(config->overlays, clear_overlay);
	report_unknown_keys(o, config_keys);
	config->version = (uint64_t)require_int(o, "version", 1, INT64_MAX);
	config->author = read_string(o, "author", CELL_NAME_MAX);
	if (config->author == NULL)
		config->author = g_strdup("");
	base = json_object_get(o->json, "base");
	if (json_is_string(base))
		config->base = g_strdup(json_string_value(base));
	else
		report_fault(o, "base", base, "the text of the base file");
	read_overlays(o, config->overlays);
	if (body_close(&b, err))
		return true;
	api_config_clear(config);
	return false;
}

void
api_config_clear(struct api_config *config)
{
	g_free(config->author);
	g_free(config->base);
	if (config->overlays != NULL)
		g_array_unref(config->overlays);
	*config = (struct api_config){ 0 };
}
