#include "calls.h"

/* Each entry's due: one each, the rest by demand, in whole connections. */
static void
divide(int64_t total, const int64_t *demand, size_t count, int64_t *due)
{
	int64_t left = total;
	int64_t sum = 0;
	int64_t rest;

	for (size_t i = 0; i < count; i++) {
		due[i] = left > 0;
		left -= due[i];
		sum += MAX(demand[i], 1);
	}
	rest = left;
	for (size_t i = 0; i < count; i++) {
		int64_t part = rest * MAX(demand[i], 1) / sum;

		due[i] += part;
		left -= part;
	}
	for (size_t i = 0; i < count && left > 0; i++, left--)
		due[i]++;
}

void
calls_shares(int64_t total, const int64_t *demand, const int64_t *held,
    size_t count, int64_t *share)
{
	int64_t spare = total;

	divide(total, demand, count, share);
	for (size_t i = 0; i < count; i++)
		spare -= held[i];
	for (size_t i = 0; i < count; i++) {
		int64_t raise = share[i] - held[i];

		if (raise <= 0)
			continue;
		raise = CLAMP(spare, 0, raise);
		share[i] = held[i] + raise;
		spare -= raise;
	}
}
