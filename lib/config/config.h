/*
 * Parses and checks the configuration: a YAML base file and one overlay per
 * site, merged and checked together. The library does no I/O.
 *
 * A file is a mapping with these top-level keys:
 *   policy:   favour: waiting|packing; heartbeat_ms; suspect_ms; lease_ms:
 *             {service, batch, gang}; retries; key_retention_s;
 *             job_retention_s; grant_min_percent; grant_max_percent;
 *             pending_max; stalled_ms: {service, batch, gang, urgent}
 *   teams:    NAME: weight, quota: {millicpus, memory, accelerators}
 *   services: NAME: team, tasks, resources: {millicpus, memory,
 *             accelerators}, spread: rack|data-center|none, data_centers:
 *             [..], idempotent, call_timeout_ms, payload
 * Memory is a number of bytes or a number with KiB, MiB or GiB. An overlay
 * overrides single keys; null removes a key.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "base.h"

#define CONFIG_NAME_MAX 63 /* bytes of a team, service, data centre or site */

/* What the scheduler optimises: short waiting times or dense packing. */
enum favour { FAVOUR_WAITING, FAVOUR_PACKING };

/* The failure domain over which the tasks of a job are spread. */
enum spread { SPREAD_NONE, SPREAD_RACK, SPREAD_DATA_CENTER };

struct config_policy {
	enum favour favour;
	int64_t heartbeat_ms;
	int64_t suspect_ms; /* no new tasks for a worker silent for longer */
	int64_t lease_ms[KIND_COUNT];
	int64_t stalled_ms[KIND_COUNT]; /* longer pending jobs are stalled */
	int64_t stalled_urgent_ms; /* the same for urgent jobs */
	int64_t retries; /* most retries of a failed idempotent task */
	int64_t key_retention_s; /* of idempotency keys */
	int64_t job_retention_s; /* of ended jobs */
	int64_t grant_min_percent; /* of the declared resources */
	int64_t grant_max_percent;
	int64_t pending_max; /* pending jobs; further ones are refused */
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
	char *payload; /* JSON text; NULL: none */
};

/* A valid configuration; reference counted. */
struct config {
	int refs;
	struct config_policy policy;
	GPtrArray *teams; /* struct config_team, sorted by name */
	GPtrArray *services; /* struct config_service, sorted by name */
};

/* The text of a base file or an overlay. */
struct config_text {
	const char *name; /* an overlay's site; not used for the base */
	const char *text;
	size_t len;
};

/* A validation error in one of the files. */
struct config_fault {
	char *file;
	int line; /* from 1; 0: the file or merged tree as a whole */
	char *key; /* dotted path; "" if the fault is not in one key */
	char *found; /* in printable form */
	char *allowed; /* phrase that says what is valid */
};

/*
 * Checks each file, merges the overlays into the base in the given order and
 * checks the result. If anything is invalid, returns NULL and appends every
 * fault (struct config_fault) to faults.
 */
struct config *config_parse(const struct config_text *base,
    const struct config_text *overlays, size_t count, GPtrArray *faults);

/* Returns "FILE:LINE: KEY: found X, allowed Y"; the caller frees it. */
char *config_fault_format(const struct config_fault *fault);
/* An empty array that frees its struct config_fault elements. */
GPtrArray *config_faults_new(void);

/* The initial configuration: policy defaults, no teams, no services. */
struct config *config_default(void);
struct config *config_ref(struct config *c);
void config_unref(struct config *c); /* c may be NULL */

/* SHA-256 in hex of the texts and overlay names; the caller frees it. */
char *config_digest(const struct config_text *base,
    const struct config_text *overlays, size_t count);

/*
 * Returns the differences between two configurations as lines (char *):
 * "+ service NAME: ...", "- service NAME", "~ service NAME: tasks 4 -> 6", and
 * the same for teams and the policy.
 */
GPtrArray *config_diff(const struct config *from, const struct config *to);

/* The shortest lease of any job kind, in milliseconds. */
int64_t config_shortest_lease(const struct config *c);

const char *spread_name(enum spread spread);
/* False if the name is unknown. */
bool spread_parse(const char *name, enum spread *spread);
/* Finds a team by name; NULL if there is none. */
const struct config_team *config_team(const struct config *c, const char *name);

#endif
