/*
 * Load orders to one engine from two successive agents of one VM.
 *
 * The first agent may keep running after the second has started, with the
 * document that it held then; its orders may arrive late, even after it has
 * stopped. The engine either refuses an order whose fencing number is lower
 * than the highest that it has received, or ignores the number. The engine may
 * restart with nothing loaded and no record of fencing numbers. A request names
 * the requested version; every frame of the answer names the version that
 * produced it.
 *
 * Convergence is checked in the final state: when no process can take a step,
 * the engine serves the version that the document names.
 *
 * Broken variants: ORDER_ONCE, NO_VERSION_CHECK, CHECK_BEGIN_ONLY,
 * CHECK_BEFORE, SAME_NUMBER. Reachability: REACH_OVERRULED, REACH_PASSED,
 * REACH_REST.
 */

#define AGENTS 2
#define NONE 0 /* no version */
#define OLD 1
#define NEW 2
#define FRAMES 2   /* of an answer */
#define REQUESTS 2
#define CHANGES 2  /* of the document: a new version and its rollback */
#define RESTARTS 1 /* of the engine */
#define LOSSES 2   /* orders lost */

byte document = OLD;
byte changes;

/* Engine. */
bool fences;
byte serving = OLD;
byte loading = NONE;
byte fence_seen;
/* Agent, counted from 1, of the last applied order; for assertions. */
byte newest_applied;
byte restarts;

/* Load orders in transit: version and fencing number. */
chan orders[AGENTS] = [1] of { byte, byte };
byte losses;

/* Agents, by incarnation - 1. */
byte held[AGENTS] = OLD; /* version in the agent's document */

inline apply_order(sender) {
    orders[sender]?version, number;
    if
    :: fences && number < fence_seen -> skip
    :: else ->
        fence_seen = (number > fence_seen -> number : fence_seen);
        assert(!fences || sender + 1 >= newest_applied);
#ifdef REACH_OVERRULED
        assert(sender + 1 >= newest_applied);
#endif
        newest_applied = sender + 1;
        if /* Orders are idempotent. */
        :: serving == version && loading == NONE -> skip
        :: else ->
            serving = NONE;
            loading = version
        fi
    fi;
    version = NONE;
    number = 0
}

proctype engine() {
    byte version = NONE;
    byte number = 0;
end:
    do
    :: d_step { nempty(orders[0]) -> apply_order(0) }
    :: d_step { nempty(orders[1]) -> apply_order(1) }
    :: d_step { loading != NONE -> serving = loading; loading = NONE }
    :: d_step {
        restarts < RESTARTS ->
        restarts++;
        serving = NONE;
        loading = NONE;
        fence_seen = 0;
        newest_applied = 0
       }
    /* An order is lost. */
    :: d_step {
        losses < LOSSES && nempty(orders[0]) ->
        losses++;
        orders[0]?_, _
       }
    :: d_step {
        losses < LOSSES && nempty(orders[1]) ->
        losses++;
        orders[1]?_, _
       }
    od
}

#ifdef SAME_NUMBER
#define FENCING_NUMBER 1
#else
#define FENCING_NUMBER (self + 1)
#endif

/* The version that the engine is loading or serving, as the agent reads it. */
#define ENGINE_STATE (loading != NONE -> loading : serving)

#ifdef ORDER_ONCE
#define MAY_ORDER (ordered != held[self])
#define ORDERED held[self]
#else
#define MAY_ORDER true
#define ORDERED NONE
#endif

proctype agent(byte self) {
    byte seen = NONE;
    byte ordered = NONE;
end:
    do
    /* Reads the engine's state, which may be stale when it is used. */
    :: d_step { seen != ENGINE_STATE -> seen = ENGINE_STATE }
    :: d_step {
        seen != held[self] && empty(orders[self]) && MAY_ORDER ->
        orders[self]!held[self], FENCING_NUMBER;
        ordered = ORDERED;
        seen = ENGINE_STATE
       }
    /* Only the new agent receives later documents. */
    :: d_step { self == 1 && held[self] != document -> held[self] = document }
    /* The old agent stops; its last order may still be in transit. */
    :: self == 0 -> break
    od
}

proctype operators() {
end:
    do
    :: d_step {
        changes < CHANGES ->
        changes++;
        document = (document == OLD -> NEW : OLD)
       }
    :: break
    od
}

/* The attempt scheduler of an agent, which forwards the frames of one answer at
   a time. */
proctype gate() {
    byte wanted = NONE;
    byte frames = 0;
    byte requests = 0;
    bool checked = false;
end:
    do
    :: atomic {
        wanted == NONE && requests < REQUESTS ->
        requests++;
        if
        :: wanted = OLD
        :: wanted = NEW
        fi;
        checked = (serving == wanted)
       }
    /* The engine produces one frame with the version that it is serving. */
    :: d_step {
        wanted != NONE && serving != NONE ->
        if
#ifdef NO_VERSION_CHECK
        :: true ->
#elif defined(CHECK_BEFORE)
        :: checked ->
#elif defined(CHECK_BEGIN_ONLY)
        :: serving == wanted || frames > 0 ->
#else
        :: serving == wanted ->
#endif
            assert(serving == wanted);
            frames++;
            if
            :: frames == FRAMES -> frames = 0; wanted = NONE
            :: else -> skip
            fi;
#ifdef REACH_PASSED
            assert(wanted != NONE || serving != NEW)
#endif
        :: else -> frames = 0; wanted = NONE
        fi
       }
    /* The engine does not answer: the attempt fails. */
    :: d_step { wanted != NONE -> frames = 0; wanted = NONE }
    od
}

proctype rest() {
end:
    timeout;
    assert(serving == document);
#ifdef REACH_REST
    assert(document == OLD || restarts == 0 || losses < LOSSES)
#endif
}

init {
    atomic {
        if
        :: fences = true
        :: fences = false
        fi;
        run engine();
        run agent(0);
        run agent(1);
        run operators();
        run gate();
        run rest()
    }
}
