#include "calls.h"

/* Gives each entry one connection and divides the rest by demand, rounded
 * down; what is left over goes to the first entries. */
static void
divide(int64_t total, const int64_t *demand, size_t count, int64_t *quota)
{
	int64_t left = total;
	int64_t sum = 0;
	int64_t rest;

	for (size_t i = 0; i < count; i++) {
		quota[i] = left > 0;
		left -= quota[i];
		sum += MAX(demand[i], 1);
	}
	rest = left;
	for (size_t i = 0; i < count; i++) {
		int64_t part = rest * MAX(demand[i], 1) / sum;

		quota[i] += part;
		left -= part;
	}
	for (size_t i = 0; i < count && left > 0; i++, left--)
		quota[i]++;
}

void
calls_compute_shares(int64_t total, const int64_t *demand, const int64_t *held,
    size_t count, int64_t *share)
{
	int64_t available = total;

	divide(total, demand, count, share);
	for (size_t i = 0; i < count; i++)
		available -= held[i];
	for (size_t i = 0; i < count; i++) {
		int64_t raise = share[i] - held[i];

		if (raise <= 0)
			continue;
		raise = CLAMP(available, 0, raise);
		share[i] = held[i] + raise;
		available -= raise;
	}
}
