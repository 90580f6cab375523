/* What cell.c needs of a minion. */
#ifndef REVIEW_MINION_H
#define REVIEW_MINION_H

#include "cell.h"

void minion_tick(struct minion *m);

#endif
