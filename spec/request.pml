/*
 * Requests between an entry and the agents in the slot of one VM.
 *
 * The entry (two incarnations) opens up to CONNECTIONS connections, one after
 * another, in ascending order of (incarnation, epoch). The agents are two
 * incarnations of one slot; the first may keep running after the second has
 * started, as a process does that resumes after a pause. A process may take its
 * next step at any time or never, which covers pauses, crashes and delays; the
 * frames of a connection are read in order, at any time or never, which covers
 * loss.
 *
 * Request 0 has attempts 0 and 1 (its retry) from the entry's incarnation 1,
 * request 1 has attempt 2 from incarnation 2. Attempts 0 and 2 have the same
 * sequence number. An answer consists of PARTS parts followed by answer_end.
 *
 * Broken variants: NO_EPOCH, QUEUE_NOT_SEALED, FINISHED_FORGOTTEN,
 * NO_INCARNATION, ID_REUSED, NO_SEAL, WAITING_SEALED, RETRY_ON_UNKNOWN,
 * LAST_ATTEMPT_DECIDES, NO_PART_COUNT, STOP_WITHOUT_DRAIN, STOP_BEFORE_CLOSE.
 * Reachability: REACH_RESUMED, REACH_SEALED, REACH_STOP, REACH_SECOND.
 */

#define CONNECTIONS 3
#define ATTEMPTS 3
#define PARTS 2
#define FINISHED (PARTS + 2) /* progress after answer_end */

#define REQUEST_OF(a) (a / 2)
#define ENTRY_INCARNATION_OF(a) (1 + a / 2)
#define BIT(a) (1 << a)

mtype = { hello, hello_reply, run_order, run_refused, seal_order, seal_failed,
          answer_part, answer_end, load_report };
mtype = { idle, waiting, outstanding, refused, unknown, complete };
mtype = { nothing, not_run, answered };

chan up[CONNECTIONS] = [4] of { mtype, byte, byte };
chan down[CONNECTIONS] = [4] of { mtype, byte, byte };

/* Entry. */
byte entry_incarnation = 1;
byte current;               /* number of connections opened so far */
bool connected;             /* the latest connection is open at the entry */
bool established;           /* and its hello_reply has been received */
bool leaving_known;         /* load_report.leaving has been received */
byte agent_known = 1;       /* agent incarnation that run_order names */
mtype state[ATTEMPTS] = idle;
byte dispatched_on[ATTEMPTS]; /* connection, counted from 1 */
byte meant[ATTEMPTS];         /* run_order.agent */
bool seal_sent[ATTEMPTS];
byte received[ATTEMPTS];      /* number of parts sent to the caller */
mtype told[2] = nothing;

/* Connections. */
byte entry_of[CONNECTIONS]; /* incarnation of the entry that opened it */
byte owner[CONNECTIONS];    /* agent incarnation that read hello, or 0 */

/* Agents, by incarnation - 1. */
byte latest[2];               /* highest connection on which hello was read */
bool leaving[2];
byte queued_on[2 * ATTEMPTS]; /* connection of the order, 0: not queued */
byte progress[2 * ATTEMPTS];  /* 0: not started, n + 1: n frames sent */

/* Global state that only the assertions read, except `idempotent`. */
bool idempotent;
byte runs[2];
byte shown[ATTEMPTS]; /* bit set of the parts sent to the caller */

#define IS_OPEN(c) (connected && current == c + 1)

/* Drops frames for a connection that the entry has closed, since the entry will
   never read them. */
#define SEND_DOWN(c, type, x, y) \
    if \
    :: IS_OPEN(c) -> down[c]!type(x, y) \
    :: else -> skip \
    fi

#define ROOM(c) (!IS_OPEN(c) || len(down[c]) <= 2)

/* ---- Entry --------------------------------------------------------------- */

#define PROVABLY_NOT_RUN(a) state[a] = refused

inline close_connection() {
    connected = false;
    established = false;
    do
    :: len(down[current - 1]) > 0 -> down[current - 1]?_, _, _
    :: else -> break
    od;
    n = 0;
    do
    :: n < ATTEMPTS ->
        if /* The run_order was never sent. */
        :: state[n] == waiting -> PROVABLY_NOT_RUN(n)
        :: else -> skip
        fi;
        n++
    :: else -> break
    od;
    n = 0
}

#ifdef NO_INCARNATION
#define SAME_AGENT(a) true
#else
#define SAME_AGENT(a) (x == meant[a])
#endif

/* Updates attempt a on a hello_reply from agent incarnation x with the set y of
   started attempts. */
inline resolve(a) {
    if
    :: state[a] == waiting ->
        up[current - 1]!run_order(a, meant[a]);
#ifdef WAITING_SEALED
        PROVABLY_NOT_RUN(a)
#else
        state[a] = outstanding
#endif
    :: state[a] == outstanding && !SAME_AGENT(a) -> state[a] = unknown
    :: state[a] == outstanding && SAME_AGENT(a) && !(y & BIT(a)) ->
        PROVABLY_NOT_RUN(a);
#ifdef REACH_SEALED
        assert(false)
#endif
    :: else -> skip
    fi
}

/* The attempt that an answer frame names. In the frame, y is the index of the
   part, or the number of parts in answer_end. */
#ifdef ID_REUSED
#define ADDRESSEE(a) ((a != 1 && entry_incarnation == 2) -> 2 : a)
#else
#define ADDRESSEE(a) a
#endif

inline receive_part() {
    n = ADDRESSEE(x);
    if
    :: state[n] != outstanding -> skip
#ifdef NO_PART_COUNT
    :: state[n] == outstanding ->
#else
    :: state[n] == outstanding && y != received[n] -> state[n] = unknown
    :: state[n] == outstanding && y == received[n] ->
#endif
        assert(x == n);
        received[n]++;
        shown[n] = shown[n] | BIT(y)
    fi;
    n = 0
}

inline receive_end() {
    n = ADDRESSEE(x);
    if
    :: state[n] != outstanding -> skip
#ifdef NO_PART_COUNT
    :: state[n] == outstanding ->
#else
    :: state[n] == outstanding && y != received[n] -> state[n] = unknown
    :: state[n] == outstanding && y == received[n] ->
#endif
        assert(x == n);
        assert(shown[n] == BIT(PARTS) - 1);
        assert(told[REQUEST_OF(n)] == nothing);
        state[n] = complete;
        told[REQUEST_OF(n)] = answered;
#ifdef REACH_RESUMED
        assert(dispatched_on[n] == current);
#endif
#ifdef REACH_SECOND
        assert(n != 2)
#endif
    fi;
    n = 0
}

inline receive_frame() {
    if
    :: down[current - 1]?hello_reply(x, y) ->
        established = true;
        agent_known = x;
        resolve(0);
        resolve(1);
        resolve(2)
    :: down[current - 1]?run_refused(x, y) ->
        if
        :: state[x] == outstanding -> PROVABLY_NOT_RUN(x)
        :: else -> skip
        fi
    :: down[current - 1]?seal_failed(x, y) -> skip
    :: down[current - 1]?answer_part(x, y) -> receive_part()
    :: down[current - 1]?answer_end(x, y) -> receive_end()
    :: down[current - 1]?load_report(x, y) -> leaving_known = true
    fi;
    x = 0;
    y = 0
}

#ifdef RETRY_ON_UNKNOWN
#define MAY_RETRY (state[0] == refused || state[0] == unknown)
#else
#define MAY_RETRY (state[0] == refused || (state[0] == unknown && idempotent))
#endif

#define MAY_DISPATCH(a) \
    (state[a] == idle && connected && !leaving_known && \
     told[REQUEST_OF(a)] == nothing && \
     entry_incarnation == ENTRY_INCARNATION_OF(a) && \
     (a != 1 || MAY_RETRY))

#define DISPATCH(a) \
    d_step { \
        MAY_DISPATCH(a) && nfull(up[current - 1]) -> \
        dispatched_on[a] = current; \
        meant[a] = agent_known; \
        if \
        :: established -> \
            state[a] = outstanding; \
            up[current - 1]!run_order(a, meant[a]) \
        :: else -> state[a] = waiting \
        fi \
    }

#define SEAL(a) \
    d_step { \
        state[a] == outstanding && established && !seal_sent[a] && \
        dispatched_on[a] == current && nfull(up[current - 1]) -> \
        seal_sent[a] = true; \
        up[current - 1]!seal_order(a, 0) \
    }

/* The deadline passes: it is unknown whether the attempt has run. */
#define GIVE_UP(a) \
    d_step { state[a] == outstanding -> state[a] = unknown }

#define NOT_RUN(a) (state[a] == idle || state[a] == refused)

#ifdef LAST_ATTEMPT_DECIDES
#define REQUEST_NOT_RUN \
    (state[1] == refused || (state[0] == refused && state[1] == idle))
#elif defined(NO_SEAL)
#define REQUEST_NOT_RUN (state[0] == outstanding && state[1] == idle)
#else
#define REQUEST_NOT_RUN (NOT_RUN(0) && NOT_RUN(1) && state[0] != idle)
#endif

proctype entry() {
    byte n = 0;
    byte x = 0;
    byte y = 0;
end:
    do
    :: d_step {
        !connected && current < CONNECTIONS ->
        entry_of[current] = entry_incarnation;
        up[current]!hello(0, 0);
        current++;
        connected = true;
        leaving_known = false
       }
    :: d_step { connected -> close_connection() }
    :: d_step { connected && nempty(down[current - 1]) &&
                (len(up[current - 1]) <= 2) -> receive_frame() }
    :: DISPATCH(0)
    :: DISPATCH(1)
    :: DISPATCH(2)
    :: SEAL(0)
    :: SEAL(2)
    :: GIVE_UP(0)
    :: GIVE_UP(1)
    :: GIVE_UP(2)
    :: d_step {
        entry_incarnation == 1 && told[0] == nothing && REQUEST_NOT_RUN ->
        told[0] = not_run;
        assert(runs[0] == 0)
       }
    :: d_step {
        told[1] == nothing && state[2] == refused ->
        told[1] = not_run;
        assert(runs[1] == 0)
       }
    /* The entry restarts as a new incarnation; callers of the old one get no
       result. */
    :: d_step {
        entry_incarnation == 1 ->
        if
        :: connected -> close_connection()
        :: else -> skip
        fi;
        entry_incarnation = 2;
        agent_known = 1;
        leaving_known = false;
        state[0] = (state[0] == refused -> refused : unknown);
        state[1] = (state[1] == refused -> refused : unknown);
        seal_sent[0] = false;
        received[0] = 0;
        received[1] = 0;
        shown[0] = 0;
        shown[1] = 0
       }
    od
}

/* ---- Agent --------------------------------------------------------------- */

#define AT(a) ((inc - 1) * ATTEMPTS + a)
#define LATEST latest[inc - 1]
#define LEAVING leaving[inc - 1]

#ifdef NO_EPOCH
#define IS_VOID(c) false
#else
#define IS_VOID(c) (c + 1 < LATEST)
#endif

#ifdef FINISHED_FORGOTTEN
#define IS_LISTED(a) (progress[AT(a)] > 0 && progress[AT(a)] < FINISHED)
#else
#define IS_LISTED(a) (progress[AT(a)] > 0)
#endif
#define STARTED_BIT(c, a) \
    ((IS_LISTED(a) && ENTRY_INCARNATION_OF(a) == entry_of[c]) -> BIT(a) : 0)
#define STARTED(c) \
    (STARTED_BIT(c, 0) | STARTED_BIT(c, 1) | STARTED_BIT(c, 2))

#ifdef QUEUE_NOT_SEALED
#define SEAL_QUEUE skip
#else
#define SEAL_QUEUE \
    queued_on[AT(0)] = 0; \
    queued_on[AT(1)] = 0; \
    queued_on[AT(2)] = 0
#endif

/* Takes over the connection, seals the queued attempts and lists the started
   ones in one atomic step. Gives no hello_reply on a connection that is older
   than the latest. */
#define RECEIVE_HELLO(c) \
    d_step { \
        owner[c] == 0 && nempty(up[c]) -> \
        up[c]?hello(_, _); \
        owner[c] = inc; \
        if \
        :: c + 1 > LATEST -> \
            LATEST = c + 1; \
            SEAL_QUEUE; \
            SEND_DOWN(c, hello_reply, inc, STARTED(c)); \
            if \
            :: LEAVING -> SEND_DOWN(c, load_report, inc, 0) \
            :: else -> skip \
            fi \
        :: else -> skip \
        fi \
    }

#ifdef NO_INCARNATION
#define IS_MEANT(y) true
#else
#define IS_MEANT(y) (y == inc)
#endif

/* The agent may refuse any run_order. */
#define RECEIVE_RUN_ORDER(c) \
    atomic { \
        owner[c] == inc && up[c]?[run_order(_, _)] && ROOM(c) -> \
        up[c]?run_order(x, y); \
        if \
        :: IS_VOID(c) -> skip \
        :: !IS_VOID(c) -> SEND_DOWN(c, run_refused, x, 0) \
        :: !IS_VOID(c) && IS_MEANT(y) && !LEAVING -> \
            queued_on[AT(x)] = c + 1 \
        fi; \
        x = 0; \
        y = 0 \
    }

#define RECEIVE_SEAL_ORDER(c) \
    d_step { \
        owner[c] == inc && up[c]?[seal_order(_, _)] && ROOM(c) -> \
        up[c]?seal_order(x, y); \
        if \
        :: IS_VOID(c) -> skip \
        :: !IS_VOID(c) && progress[AT(x)] > 0 -> \
            SEND_DOWN(c, seal_failed, x, 0) \
        :: !IS_VOID(c) && progress[AT(x)] == 0 -> \
            queued_on[AT(x)] = 0; \
            SEND_DOWN(c, run_refused, x, 0) \
        fi; \
        x = 0 \
    }

#define START(a) \
    d_step { \
        queued_on[AT(a)] != 0 -> \
        queued_on[AT(a)] = 0; \
        progress[AT(a)] = 1; \
        runs[REQUEST_OF(a)]++; \
        assert(state[a] != refused); \
        assert(told[REQUEST_OF(a)] != not_run); \
        assert(idempotent || runs[REQUEST_OF(a)] == 1) \
    }

/* Sends answer frames on the latest connection of the entry. */
#define ANSWER(a) \
    d_step { \
        progress[AT(a)] > 0 && progress[AT(a)] < FINISHED && \
        ROOM(LATEST - 1) -> \
        if \
        :: progress[AT(a)] <= PARTS -> \
            SEND_DOWN(LATEST - 1, answer_part, a, progress[AT(a)] - 1) \
        :: else -> SEND_DOWN(LATEST - 1, answer_end, a, PARTS) \
        fi; \
        progress[AT(a)]++ \
    }

#define IS_RUNNING(a) \
    (queued_on[AT(a)] != 0 || \
     (progress[AT(a)] > 0 && progress[AT(a)] < FINISHED))
#define IS_BUSY (IS_RUNNING(0) || IS_RUNNING(1) || IS_RUNNING(2))

/* The agent has no connection, or the entry has closed the latest one and the
   agent has read every frame sent on it. */
#define PEER_CLOSED \
    (LATEST == 0 || (!IS_OPEN(LATEST - 1) && len(up[LATEST - 1]) == 0))

#ifdef STOP_WITHOUT_DRAIN
#define MAY_STOP (LEAVING && PEER_CLOSED)
#elif defined(STOP_BEFORE_CLOSE)
#define MAY_STOP (LEAVING && !IS_BUSY)
#else
#define MAY_STOP (LEAVING && !IS_BUSY && PEER_CLOSED)
#endif

#define IS_CUT(a) \
    (state[a] == outstanding && LATEST != 0 && IS_OPEN(LATEST - 1) && \
     established && dispatched_on[a] <= LATEST)

proctype agent(byte inc) {
    byte x = 0;
    byte y = 0;
end:
    do
    :: RECEIVE_HELLO(0)
    :: RECEIVE_HELLO(1)
    :: RECEIVE_HELLO(2)
    :: RECEIVE_RUN_ORDER(0)
    :: RECEIVE_RUN_ORDER(1)
    :: RECEIVE_RUN_ORDER(2)
    :: RECEIVE_SEAL_ORDER(0)
    :: RECEIVE_SEAL_ORDER(1)
    :: RECEIVE_SEAL_ORDER(2)
    :: START(0)
    :: START(1)
    :: START(2)
    :: ANSWER(0)
    :: ANSWER(1)
    :: ANSWER(2)
    /* A graceful stop begins. */
    :: d_step {
        inc == 1 && !LEAVING && (LATEST == 0 || ROOM(LATEST - 1)) ->
        LEAVING = true;
        if
        :: LATEST != 0 -> SEND_DOWN(LATEST - 1, load_report, inc, 0)
        :: else -> skip
        fi
       }
    :: d_step {
        MAY_STOP ->
        assert(!IS_BUSY);
        assert(!IS_CUT(0) && !IS_CUT(1) && !IS_CUT(2));
#ifdef REACH_STOP
        assert(told[0] != answered)
#endif
       }
       break
    od
}

init {
    atomic {
        if
        :: idempotent = false
        :: idempotent = true
        fi;
        run entry();
        run agent(1);
        run agent(2)
    }
}
