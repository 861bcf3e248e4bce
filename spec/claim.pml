/*
 * At most one attempt of an idempotency key is ever dispatched.
 *
 * One key, three voters and three attempts by any entries; an entry that
 * crashes takes no further step. Messages are not held in channels: a voter may
 * receive any claim_request, recover_request or due claim_release at any time
 * and any number of times, and an entry may use any vote that was ever sent to
 * it. This covers loss, delay, reordering and duplication of every message.
 *
 * Broken variants: NO_WITNESS, NO_RECOVERY, NO_KNOWN, RELEASE_AFTER_DISPATCH,
 * FIRST_RECORD_WINS, DISPUTE_NOT_SENT, KNOWN_ASKERS_ONLY, ONE_WAY_KNOWN,
 * RECOVERING_COUNTS, PARTIAL_RECOVERY.
 * Reachability: REACH_DISPATCH, REACH_REPEAT, REACH_DISPUTED.
 */

#ifndef RESTARTS
#define RESTARTS 3 /* restarts of voters in total */
#endif

#define VOTERS 3
#define ATTEMPTS 3
#define INCARNATIONS 3 /* per voter */

/* Values of claim_record.attempt; attempt a is stored as a + 1. */
#define NO_RECORD 0
#define DISPUTED (ATTEMPTS + 1) /* recovery found records of two attempts */

#define NEXT(v) ((v + 1) % VOTERS)
#define LAST(v) ((v + 2) % VOTERS)
#define PAIR(v, u) (v * VOTERS + u)

mtype = { asking, dispatched, not_run };

mtype attempt_state[ATTEMPTS] = asking;
byte dispatched_count;
byte restarts;

/* Voters. */
byte incarnation[VOTERS] = 1;
bool recovering[VOTERS];
byte held[VOTERS];            /* claim_record.attempt of the key */
byte known[VOTERS * VOTERS];  /* claim_reply.known, at PAIR(v, u) */

/* recover_reply of u to the current incarnation of v, at PAIR(v, u);
   reply_incarnation is the incarnation of recover_reply.sender, 0 if no reply
   was received. */
byte reply_incarnation[VOTERS * VOTERS];
byte reply_held[VOTERS * VOTERS];

/* Granted claim_reply, by attempt, voter and incarnation: 0 if there is none,
   otherwise 1 + known of NEXT + 4 * known of LAST. */
byte vote[ATTEMPTS * VOTERS * INCARNATIONS];

#define VOTE(a, v, i) vote[((a) * VOTERS + (v)) * INCARNATIONS + (i) - 1]
#define KNOWN_NEXT(code) ((code - 1) % 4)
#define KNOWN_LAST(code) ((code - 1) / 4)

/* The votes of v in incarnation i and of NEXT(v) in incarnation j were both
   granted and are compatible. */
#ifdef NO_KNOWN
#define BOTH(a, v, i, j) (VOTE(a, v, i) != 0 && VOTE(a, NEXT(v), j) != 0)
#elif defined(ONE_WAY_KNOWN)
#define BOTH(a, v, i, j) \
    (VOTE(a, v, i) != 0 && VOTE(a, NEXT(v), j) != 0 && \
     KNOWN_NEXT(VOTE(a, v, i)) <= j)
#else
#define BOTH(a, v, i, j) \
    (VOTE(a, v, i) != 0 && VOTE(a, NEXT(v), j) != 0 && \
     KNOWN_NEXT(VOTE(a, v, i)) <= j && KNOWN_LAST(VOTE(a, NEXT(v), j)) <= i)
#endif
#define BOTH_OF(a, v) \
    (BOTH(a, v, 1, 1) || BOTH(a, v, 1, 2) || BOTH(a, v, 1, 3) || \
     BOTH(a, v, 2, 1) || BOTH(a, v, 2, 2) || BOTH(a, v, 2, 3) || \
     BOTH(a, v, 3, 1) || BOTH(a, v, 3, 2) || BOTH(a, v, 3, 3))
#define ONE_OF(a, v) (VOTE(a, v, 1) || VOTE(a, v, 2) || VOTE(a, v, 3))

#ifdef NO_WITNESS
#define WON(a) (ONE_OF(a, 0) || ONE_OF(a, 1) || ONE_OF(a, 2))
#else
#define WON(a) (BOTH_OF(a, 0) || BOTH_OF(a, 1) || BOTH_OF(a, 2))
#endif

#ifdef RELEASE_AFTER_DISPATCH
#define RELEASED(a) (attempt_state[a] != asking)
#else
#define RELEASED(a) (attempt_state[a] == not_run)
#endif

/* Clears the votes of an ended attempt, which no longer uses them. */
inline forget_votes(a) {
    do
    :: n < VOTERS * INCARNATIONS ->
        vote[a * VOTERS * INCARNATIONS + n] = 0;
        n++
    :: else -> break
    od;
    n = 0
}

/* The entry that owns one attempt. */
proctype attempt(byte a) {
    byte n = 0;
    do
    :: d_step {
        attempt_state[a] == asking && WON(a) ->
        attempt_state[a] = dispatched;
        dispatched_count++;
        forget_votes(a);
        assert(dispatched_count <= 1);
#ifdef REACH_DISPATCH
        assert(restarts < RESTARTS);
#endif
#ifdef REACH_REPEAT
        assert(attempt_state[(a + 1) % ATTEMPTS] != not_run ||
               attempt_state[(a + 2) % ATTEMPTS] != not_run)
#endif
       }
       break
    /* The claim failed or was abandoned: reports not-run to the caller and
       sends claim_release. */
    :: d_step {
        attempt_state[a] == asking ->
        attempt_state[a] = not_run;
        forget_votes(a)
       }
       break
    od
}

/* Receives claim_request of attempt a and records a granted claim_reply. Only
   the first vote of an incarnation is kept: `known` never decreases within an
   incarnation, so the first vote excludes the fewest votes of other voters. */
#define RECEIVE_CLAIM_REQUEST(a) \
    d_step { \
        !recovering[v] && (held[v] == NO_RECORD || \
                           (held[v] == a + 1 && VOTE(a, v, incarnation[v]) == 0 \
                            && attempt_state[a] == asking)) -> \
        held[v] = a + 1; \
        if \
        :: attempt_state[a] == asking && VOTE(a, v, incarnation[v]) == 0 -> \
            VOTE(a, v, incarnation[v]) = \
                1 + known[PAIR(v, NEXT(v))] + 4 * known[PAIR(v, LAST(v))] \
        :: else -> skip \
        fi \
    }

#define RECEIVE_CLAIM_RELEASE(a) \
    d_step { \
        !recovering[v] && RELEASED(a) && held[v] == a + 1 -> \
        held[v] = NO_RECORD \
    }

/* Receives recover_request of u's current incarnation and sends recover_reply;
   `known` is raised before the records are read. */
#ifdef RECOVERING_COUNTS
#define MAY_REPLY(v) true
#else
#define MAY_REPLY(v) !recovering[v]
#endif
#ifdef DISPUTE_NOT_SENT
#define SENT_RECORD(v) (held[v] == DISPUTED -> NO_RECORD : held[v])
#else
#define SENT_RECORD(v) held[v]
#endif
#define RECEIVE_RECOVER_REQUEST(u) \
    d_step { \
        recovering[u] && MAY_REPLY(v) && \
        !(reply_incarnation[PAIR(u, v)] == incarnation[v] && \
          reply_held[PAIR(u, v)] == SENT_RECORD(v)) -> \
        known[PAIR(v, u)] = incarnation[u]; \
        reply_incarnation[PAIR(u, v)] = incarnation[v]; \
        reply_held[PAIR(u, v)] = SENT_RECORD(v) \
    }

#define REPLY_OF(u) reply_incarnation[PAIR(v, u)]
#define REPLIED(u) (REPLY_OF(u) != 0)
#ifdef PARTIAL_RECOVERY
#define RECOVERED (REPLIED(NEXT(v)) || REPLIED(LAST(v)))
#else
#define RECOVERED (REPLIED(NEXT(v)) && REPLIED(LAST(v)))
#endif

#ifdef KNOWN_ASKERS_ONLY
#define LEARN_SENDER(u) skip
#else
#define LEARN_SENDER(u) \
    if \
    :: known[PAIR(v, u)] < REPLY_OF(u) -> known[PAIR(v, u)] = REPLY_OF(u) \
    :: else -> skip \
    fi
#endif

#ifdef FIRST_RECORD_WINS
#define ON_CONFLICT held[v]
#else
#define ON_CONFLICT DISPUTED
#endif

#define MERGE_REPLY(u) \
    if \
    :: reply_held[PAIR(v, u)] == NO_RECORD -> skip \
    :: else -> \
        if \
        :: held[v] == NO_RECORD -> held[v] = reply_held[PAIR(v, u)] \
        :: held[v] == reply_held[PAIR(v, u)] -> skip \
        :: else -> held[v] = ON_CONFLICT \
        fi \
    fi

#define FORGET_REPLY(u) \
    reply_incarnation[PAIR(v, u)] = 0; \
    reply_held[PAIR(v, u)] = NO_RECORD

proctype voter(byte v) {
end:
    do
    :: RECEIVE_CLAIM_REQUEST(0)
    :: RECEIVE_CLAIM_REQUEST(1)
    :: RECEIVE_CLAIM_REQUEST(2)
    :: RECEIVE_CLAIM_RELEASE(0)
    :: RECEIVE_CLAIM_RELEASE(1)
    :: RECEIVE_CLAIM_RELEASE(2)
    :: RECEIVE_RECOVER_REQUEST(NEXT(v))
    :: RECEIVE_RECOVER_REQUEST(LAST(v))
    /* Every other witness has replied: recovery ends, voting is allowed. */
    :: d_step {
        recovering[v] && RECOVERED ->
        MERGE_REPLY(NEXT(v));
        MERGE_REPLY(LAST(v));
        LEARN_SENDER(NEXT(v));
        LEARN_SENDER(LAST(v));
        FORGET_REPLY(NEXT(v));
        FORGET_REPLY(LAST(v));
        recovering[v] = false;
#ifdef REACH_DISPUTED
        assert(held[v] != DISPUTED)
#endif
       }
    /* The voter restarts as a new incarnation with empty memory. */
    :: d_step {
        restarts < RESTARTS && incarnation[v] < INCARNATIONS ->
        restarts++;
        incarnation[v]++;
        held[v] = NO_RECORD;
        known[PAIR(v, NEXT(v))] = 0;
        known[PAIR(v, LAST(v))] = 0;
        FORGET_REPLY(NEXT(v));
        FORGET_REPLY(LAST(v));
#ifdef NO_RECOVERY
        recovering[v] = false
#else
        recovering[v] = true
#endif
       }
    od
}

init {
    atomic {
        run attempt(0);
        run attempt(1);
        run attempt(2);
        run voter(0);
        run voter(1);
        run voter(2)
    }
}
