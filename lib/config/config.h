/*
 * Configuration: a base file and one overlay a site, in YAML, merged and
 * checked as a whole. Pure: text in, typed tables out.
 *
 * A file is a mapping. Keys of the top level:
 *   policy:   favour: waiting|packing; heartbeat_ms; suspect_ms; lease_ms:
 *             {service, batch, gang}; retries; key_retention_s;
 *             job_retention_s; grant_min_percent; grant_max_percent;
 *             pending_max; stalled_ms: {service, batch, gang, urgent}
 *   teams:    NAME: weight, quota: {millicpus, memory, accelerators}
 *   services: NAME: team, tasks, resources: {millicpus, memory,
 *             accelerators}, spread: rack|data-center|none, data_centers:
 *             [..], idempotent, call_timeout_ms, payload
 * Memory takes a number of bytes or a number with KiB, MiB or GiB. An overlay
 * overrides by key and deletes with null.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "base.h"

#define CONFIG_NAME_MAX 63

enum favour { FAVOUR_WAITING, FAVOUR_PACKING };
enum spread { SPREAD_NONE, SPREAD_RACK, SPREAD_DATA_CENTER };

struct config_policy {
	enum favour favour;
	int64_t heartbeat_ms;
	int64_t suspect_ms; /* silence before no new work */
	int64_t lease_ms[KIND_COUNT];
	int64_t stalled_ms[KIND_COUNT]; /* pending past this is reported */
	int64_t stalled_urgent_ms;
	int64_t retries; /* of a failed idempotent task */
	int64_t key_retention_s; /* idempotency keys */
	int64_t job_retention_s; /* ended jobs */
	int64_t grant_min_percent; /* of the declared size */
	int64_t grant_max_percent;
	int64_t pending_max; /* jobs waiting before refusal */
};

struct config_team {
	char *name;
	int64_t weight;
	struct resources quota;
};

struct config_service {
	char *name;
	char *team;
	int64_t tasks;
	struct resources resources;
	enum spread spread;
	GPtrArray *data_centers; /* char *; empty: any */
	bool idempotent;
	int64_t call_timeout_ms;
	char *payload;
};

/* A checked configuration, shared by reference count. */
struct config {
	int refs;
	struct config_policy policy;
	GPtrArray *teams; /* struct config_team, by name */
	GPtrArray *services; /* struct config_service, by name */
};

/* A named text: a base file or an overlay. */
struct config_text {
	const char *name; /* file name for messages; an overlay's site */
	const char *text;
	size_t len;
};

/* One fault in the files. */
struct config_fault {
	char *file;
	int line; /* from 1; 0: the merged whole */
	char *key; /* dotted path */
	char *found;
	char *allowed;
};

/*
 * Merges the base and the overlays in order and checks the whole. Returns
 * NULL and fills faults (struct config_fault, all of them) if any is wrong.
 */
struct config *config_parse(const struct config_text *base,
    const struct config_text *overlays, size_t count, GPtrArray *faults);

/* "FILE:LINE: KEY: found X, allowed Y". */
char *config_fault_line(const struct config_fault *fault);
GPtrArray *config_faults_new(void);

/* The configuration in force before any was applied: policy defaults. */
struct config *config_default(void);
struct config *config_ref(struct config *c);
void config_unref(struct config *c);

/* SHA-256 in hex of base and overlays with their names; caller frees. */
char *config_digest(const struct config_text *base,
    const struct config_text *overlays, size_t count);

/*
 * Lines that say what changes from one configuration to another: "+ service
 * NAME ...", "- service NAME", "~ service NAME: tasks 4 -> 6", teams and
 * policy alike. Elements are char *.
 */
GPtrArray *config_diff(const struct config *from, const struct config *to);

/* The shortest lease of all kinds, in milliseconds. */
int64_t config_shortest_lease(const struct config *c);

const char *spread_name(enum spread spread);
bool spread_parse(const char *name, enum spread *spread);
const struct config_team *config_team(const struct config *c, const char *name);

#endif
