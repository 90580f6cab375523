#include "stop.h"

static const char *const names[] = {
	[STOP_SERVE] = "stop-begin",
	[STOP_LISTENING] = "stop-listening",
	[STOP_REFUSE] = "stop-refuse",
	[STOP_END] = "stop-end",
};

const char *
stop_step_name(enum stop_step step)
{
	return names[step];
}

struct stop
stop_begin(int64_t serve_ms, int64_t grace_ms, int64_t now_ms)
{
	return (struct stop){
		.serve_ms = serve_ms, .grace_ms = grace_ms, .started_ms = now_ms
	};
}

enum stop_step
stop_next(struct stop *s, int owed, bool needed, int64_t now_ms)
{
	int64_t since_ms = now_ms - s->started_ms;
	bool idle = owed == 0 && !needed && since_ms >= s->serve_ms;

	switch (s->step) {
	case STOP_SERVE:
		if (idle)
			s->step = STOP_LISTENING;
		break;
	case STOP_LISTENING:
		/* Nothing has come since the last check, either. */
		if (idle)
			s->step = STOP_END;
		break;
	case STOP_REFUSE:
		if (owed == 0 || since_ms >= s->grace_ms * 9 / 10)
			s->step = STOP_END;
		break;
	case STOP_END:
		break;
	}
	if (s->step < STOP_REFUSE && since_ms >= s->grace_ms * 4 / 5)
		s->step = STOP_REFUSE;
	return s->step;
}
