/*
 * Leases and epochs: two entries, one of which is the home of the one worker,
 * and one attempt of a task that the leader has assigned to the worker. The
 * leader stands for the replicated log, which raft.pml checks; it is correct
 * here by assumption.
 *
 * Chain of leases: an entry requests a grant from the leader; the grant runs
 * from the time at which the entry sent the request. While the grant is valid,
 * the entry may answer the worker's heartbeats; the worker's lease runs from
 * the time at which it sent the heartbeat. Each clock may lose up to DRIFT
 * ticks in one lease or grant. The leader frees the attempt, so that it may
 * run elsewhere, once the last grant and a lease renewed at the very end of
 * that grant must have expired.
 *
 * Messages may be lost or delayed, start orders also duplicated.
 */
#define GRANT 1 /* duration of an entry's grant, in ticks */
#define LEASE 1 /* duration of the worker's lease, in ticks */
#define DRIFT 1 /* ticks that a clock may lose in one lease or grant */
#define EPOCHS 3 /* highest epoch */

/* Guards; each mutation removes one of them. */
#ifdef MUT_FREE_EARLY
#define FREE_DELAY (LEASE + DRIFT) /* ignores that the entry may still renew */
#else
#define FREE_DELAY (GRANT + DRIFT + LEASE + DRIFT)
#endif
#ifdef MUT_NO_TAKEOVER_DELAY
#define TAKEOVER_DELAY 0
#else
#define TAKEOVER_DELAY FREE_DELAY
#endif
#ifdef MUT_GRANT_FROM_RECEIPT
#define NEW_GRANT(e) GRANT
#else
#define NEW_GRANT(e) request_left[e]
#endif
#ifdef MUT_LEASE_FROM_RECEIPT
#define NEW_LEASE LEASE
#else
#define NEW_LEASE heartbeat_left
#endif
#ifdef MUT_OLD_EPOCH
#define IN_SESSION(k) (w_left > 0)
#else
#define IN_SESSION(k) (w_left > 0 && (k) == w_epoch)
#endif

/* The leader and the replicated log. */
byte epoch = 1; /* of the worker's current session */
byte home; /* the entry that serves this session */
byte incarnation_of[EPOCHS + 1]; /* incarnation that an epoch was issued to */
byte freed; /* epoch issued when the attempt was freed; 0: not freed */
byte free_timer = FREE_DELAY; /* ticks until the attempt may be freed */

/* Entries. */
byte e_epoch[2]; /* session that it serves by its last grant; 0: none */
byte e_left[2]; /* ticks left of its grant */
byte e_drift[2]; /* ticks that its clock may still lose */
byte request[2]; /* 0: none, 1: request sent, 2: answer sent */
byte request_left[2]; /* ticks left of the requested grant */
byte request_drift[2];
byte answer_epoch[2]; /* epoch in the answer; 0: not the home */

/* The worker. */
byte w_incarnation; /* number of restarts */
byte w_epoch;
byte w_left; /* ticks left of its lease */
byte w_drift; /* ticks that its clock may still lose */
bit running; /* the attempt runs here */
bit started; /* the attempt was started; it is not started again */
byte heartbeat; /* 0: none, 1: heartbeat sent, 2: answer sent */
byte heartbeat_to; /* entry that it was sent to */
byte heartbeat_left; /* ticks left of the lease that the answer renews */
byte heartbeat_drift;
byte heartbeat_epoch; /* epoch in the answer */
bit order[EPOCHS + 1]; /* start orders sent, by epoch */

#define SAFE assert(!(running && freed != 0))

/* One tick of the clock of a lease or grant, which may lose the tick. */
inline count_down(left, drift)
{
	if
	:: left > 0 -> left--
	:: left > 0 && drift > 0 -> drift--
	:: left == 0 -> drift = 0
	fi
}

/*
 * Variables without a further effect are set to 0, so that states which
 * differ only in them count as one.
 */
inline clear_request(e)
{
	request[e] = 0;
	request_left[e] = 0;
	request_drift[e] = 0;
	answer_epoch[e] = 0
}

inline clear_heartbeat()
{
	heartbeat = 0;
	heartbeat_to = 0;
	heartbeat_left = 0;
	heartbeat_drift = 0;
	heartbeat_epoch = 0
}

inline clear_expired(e)
{
	e_epoch[e] = (e_left[e] == 0 -> 0 : e_epoch[e]);
	if
	:: request[e] != 0 && NEW_GRANT(e) == 0 -> clear_request(e)
	:: else
	fi
}

/*
 * The entry sends the start order unless its log shows that the attempt was
 * freed before this session. It sends at once: an order may arrive at any
 * later time, so this covers later sending too.
 */
inline send_order(e)
{
	if
	:: answer_epoch[e] > 0 && (freed == 0 || answer_epoch[e] < freed) ->
		order[answer_epoch[e]] = 1
	:: else
	fi
}

inline next_epoch()
{
	epoch++;
	incarnation_of[epoch] = w_incarnation
}

proctype entry(byte e)
{
	do
	:: atomic { request[e] == 0 ->
		request[e] = 1;
		request_left[e] = GRANT;
		request_drift[e] = DRIFT
	}
	:: atomic { request[e] == 1 -> /* the leader answers */
		request[e] = 2;
		answer_epoch[e] = (home == e -> epoch : 0);
		free_timer = (home == e -> FREE_DELAY : free_timer)
	}
	:: atomic { request[e] == 2 && NEW_GRANT(e) > 0 ->
		e_epoch[e] = answer_epoch[e];
		e_left[e] = (answer_epoch[e] > 0 -> NEW_GRANT(e) : 0);
		e_drift[e] = (answer_epoch[e] > 0 -> request_drift[e] : 0);
		send_order(e);
		clear_request(e)
	}
	:: atomic { request[e] != 0 -> clear_request(e) } /* lost */
	:: atomic { heartbeat == 1 && heartbeat_to == e && e_left[e] > 0 &&
	    e_epoch[e] > 0 && incarnation_of[e_epoch[e]] == w_incarnation ->
		heartbeat = 2;
		heartbeat_epoch = e_epoch[e]
	}
	od
}

#define MAY_START(k) (order[k] && !started && IN_SESSION(k))

inline start()
{
	running = 1;
	started = 1;
	SAFE
}

active proctype worker()
{
	do
	:: atomic { heartbeat == 0 ->
		heartbeat = 1;
		if
		:: heartbeat_to = 0
		:: heartbeat_to = 1
		fi;
		heartbeat_left = LEASE;
		heartbeat_drift = DRIFT
	}
	/* An expired session is not renewed; a new one needs a later epoch. */
	:: atomic { heartbeat == 2 && NEW_LEASE > 0 &&
	    (heartbeat_epoch > w_epoch ||
	    (heartbeat_epoch == w_epoch && w_left > 0)) ->
		w_epoch = heartbeat_epoch;
		w_left = NEW_LEASE;
		w_drift = heartbeat_drift;
		clear_heartbeat()
	}
	:: atomic { heartbeat != 0 -> clear_heartbeat() } /* lost */
	:: atomic { MAY_START(1) -> start() }
	:: atomic { MAY_START(2) -> start() }
	:: atomic { MAY_START(3) -> start() }
	:: atomic { w_incarnation == 0 -> /* restart */
		w_incarnation = 1;
		running = 0;
		started = 0;
		w_epoch = 0;
		w_left = 0;
		w_drift = 0;
		clear_heartbeat()
	}
	od
}

active proctype leader()
{
	do
	:: atomic { epoch < EPOCHS -> home = 1 - home; next_epoch() }
	:: atomic { freed == 0 && free_timer == 0 && epoch < EPOCHS ->
		next_epoch();
		freed = epoch;
		SAFE
	}
	/* A restarted worker announces itself: its attempts have ended. */
	:: atomic { incarnation_of[epoch] != w_incarnation && epoch < EPOCHS ->
		next_epoch();
		freed = (freed == 0 -> epoch : freed);
		SAFE
	}
	:: atomic { free_timer = TAKEOVER_DELAY } /* a new leader */
	od
}

active proctype clock()
{
	do
	:: atomic {
		free_timer = (free_timer > 0 -> free_timer - 1 : 0);
		count_down(e_left[0], e_drift[0]);
		count_down(e_left[1], e_drift[1]);
		count_down(request_left[0], request_drift[0]);
		count_down(request_left[1], request_drift[1]);
		count_down(heartbeat_left, heartbeat_drift);
		count_down(w_left, w_drift);
		clear_expired(0);
		clear_expired(1);
		if
		:: heartbeat != 0 && NEW_LEASE == 0 -> clear_heartbeat()
		:: else
		fi;
		/* The worker stops its attempts when its lease expires. */
		running = (w_left == 0 -> 0 : running)
	}
	od
}

init {
	run entry(0);
	run entry(1)
}
