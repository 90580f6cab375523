/*
 * Fuzzes the parsers of JSON bodies; the first byte selects the parser. An
 * invalid body must give an error message; the contents of a valid one must be
 * freed completely by its clear function.
 */
#include "api.h"
#include "fuzz.h"

static bool
job(const void *body, size_t len, GError **err)
{
	struct cell_spec spec = { 0 };
	bool good = api_parse_job(body, len, &spec, err);

	if (good)
		cell_spec_clear(&spec);
	return good;
}

static bool
worker(const void *body, size_t len, GError **err)
{
	struct api_worker w = { 0 };
	bool good = api_parse_worker(body, len, &w, err);

	if (good)
		api_worker_clear(&w);
	return good;
}

static bool
end(const void *body, size_t len, GError **err)
{
	struct api_end e = { 0 };
	bool good = api_parse_end(body, len, &e, err);

	if (good)
		api_end_clear(&e);
	return good;
}

static bool
config(const void *body, size_t len, GError **err)
{
	struct api_config c = { 0 };
	bool good = api_parse_config(body, len, &c, err);

	if (good)
		api_config_clear(&c);
	return good;
}

static bool
cancel(const void *body, size_t len, GError **err)
{
	struct api_cancel c = { 0 };
	bool good = api_parse_cancel(body, len, &c, err);

	if (good)
		api_cancel_clear(&c);
	return good;
}

static bool
replica(const void *body, size_t len, GError **err)
{
	struct api_replica r = { 0 };
	bool good = api_parse_replica(body, len, &r, err);

	if (good)
		api_replica_clear(&r);
	return good;
}

static bool (*const parsers[])(const void *, size_t, GError **) = {
	job,
	worker,
	end,
	config,
	cancel,
	replica,
};

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GError *err = NULL;

	if (size == 0)
		return 0;
	if (parsers[data[0] % G_N_ELEMENTS(parsers)](data + 1, size - 1, &err))
		return 0;
	g_assert_error(err, BT_ERROR, ERR_INVALID);
	g_assert_cmpstr(err->message, !=, "");
	g_error_free(err);
	return 0;
}
