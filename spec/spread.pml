/*
 * Putting a revision in force, with witnesses and nodes that have no persistent
 * state.
 *
 * Three witnesses and the successive processes of one VM. A document_push of
 * any accepted revision may reach any process at any time; a node may use any
 * held_revision that was ever sent. This covers loss, delay, duplication,
 * relays, partitions and outages: an unavailable process or link is modelled as
 * a step that is not taken.
 *
 * The assertions are stronger than monotonicity within one VM: a process that
 * starts after a revision was in force anywhere never puts a lower one in
 * force, and a witness that starts after that never counts with a lower one.
 *
 * Broken variants: LOWER_ACCEPTED, NODE_LOWER_ACCEPTED, ONE_STALE_PEER,
 * NO_MAJORITY, UNRECOVERED_ANSWERS, NO_CONFIRM, ANY_INCARNATION,
 * CONFIRM_EARLY. ALT_KEY_ONLY is an alternative design that also holds:
 * witnesses recover from the platform's service only, and no second round is
 * needed.
 * Reachability: REACH_IN_FORCE, REACH_WITNESS_RECOVERY, REACH_NODE_RECOVERY.
 */

#ifndef RESTARTS
#define RESTARTS 3 /* restarts of witnesses in total */
#endif
#ifndef REPLACEMENTS
#define REPLACEMENTS 2 /* of the node */
#endif

#define WITNESSES 3
#define INCARNATIONS 3 /* per witness */
#define FIRST_REVISION 1 /* held by every witness and in force initially */
#ifndef LAST_REVISION
#define LAST_REVISION 2
#endif

#define NEXT(w) ((w + 1) % WITNESSES)
#define LAST(w) ((w + 2) % WITNESSES)

byte accepted = FIRST_REVISION; /* revision in the platform's service */
byte in_force = FIRST_REVISION; /* highest revision in force anywhere */

/* Witnesses. */
byte incarnation[WITNESSES] = 1;
bool recovered[WITNESSES] = true;
byte document[WITNESSES] = FIRST_REVISION;
byte floor[WITNESSES] = FIRST_REVISION; /* in_force when the witness started */
byte restarts;

/* The sync_reply.document of u that the current incarnation of w uses, plus 1;
   0 if there is none. */
byte reply[WITNESSES * WITNESSES];
#define REPLY(w, u) reply[(w) * WITNESSES + (u)]

/* Highest held_revision that an incarnation of a witness ever sent. */
byte reported[WITNESSES * INCARNATIONS];
#define REPORTED(w, i) reported[(w) * INCARNATIONS + (i) - 1]

/* Node. */
bool node_recovered = true;
byte node_document = FIRST_REVISION;
byte node_floor = FIRST_REVISION;
byte node_reply[WITNESSES];
byte replacements;
/* Incarnation whose held_revision covers node_document, 0 if none. */
byte counted[WITNESSES];
bool confirming; /* a majority is counted and is asked to confirm */
bool confirmed[WITNESSES];

#ifdef LOWER_ACCEPTED
#define IS_NEWER(number) (number != document[w])
#else
#define IS_NEWER(number) (number > document[w])
#endif
#ifdef NODE_LOWER_ACCEPTED
#define IS_NEWER_HERE(number) (number != node_document)
#else
#define IS_NEWER_HERE(number) (number > node_document)
#endif

#ifdef UNRECOVERED_ANSWERS
#define MAY_ANSWER(w) true
#else
#define MAY_ANSWER(w) recovered[w]
#endif

/* ---- Platform's service -------------------------------------------------- */

proctype platform() {
end:
    do
    :: d_step { accepted < LAST_REVISION -> accepted++ }
    od
}

/* ---- Witness ------------------------------------------------------------- */

inline report() {
    if
    :: recovered[w] && document[w] > REPORTED(w, incarnation[w]) ->
        REPORTED(w, incarnation[w]) = document[w]
    :: else -> skip
    fi
}

inline raise(number) {
    if
    :: number > document[w] -> document[w] = number
    :: else -> skip
    fi
}

#define FORGET_REPLIES \
    REPLY(w, NEXT(w)) = 0; \
    REPLY(w, LAST(w)) = 0

inline recover() {
    FORGET_REPLIES;
    recovered[w] = true;
    assert(document[w] >= floor[w]);
    report()
}

#define RECEIVE_DOCUMENT_PUSH(number) \
    d_step { \
        recovered[w] && number <= accepted && \
        IS_NEWER(number) -> \
        document[w] = number; \
        report() \
    }

#define RECEIVE_SYNC_REPLY(u) \
    d_step { \
        !recovered[w] && MAY_ANSWER(u) && REPLY(w, u) == 0 -> \
        REPLY(w, u) = document[u] + 1 \
    }

/* Replies from a majority of all witnesses; the recovering witness itself does
   not count. */
#if defined(ALT_KEY_ONLY)
#define MAY_RECOVER false
#elif defined(ONE_STALE_PEER)
#define MAY_RECOVER (REPLY(w, NEXT(w)) != 0 || REPLY(w, LAST(w)) != 0)
#else
#define MAY_RECOVER (REPLY(w, NEXT(w)) != 0 && REPLY(w, LAST(w)) != 0)
#endif

proctype witness(byte w) {
end:
    do
    :: RECEIVE_DOCUMENT_PUSH(1)
    :: RECEIVE_DOCUMENT_PUSH(2)
    :: RECEIVE_DOCUMENT_PUSH(3)
    :: RECEIVE_SYNC_REPLY(NEXT(w))
    :: RECEIVE_SYNC_REPLY(LAST(w))
    :: d_step {
        !recovered[w] && MAY_RECOVER ->
        raise(REPLY(w, NEXT(w)) - 1);
        raise(REPLY(w, LAST(w)) - 1);
        recover();
#ifdef REACH_WITNESS_RECOVERY
        assert(floor[w] == FIRST_REVISION)
#endif
       }
    /* Reads the key from the platform's service. */
    :: d_step { !recovered[w] -> raise(accepted); recover() }
    :: d_step {
        restarts < RESTARTS && incarnation[w] < INCARNATIONS ->
        restarts++;
        incarnation[w]++;
        recovered[w] = false;
        document[w] = 0;
        floor[w] = in_force;
        FORGET_REPLIES
       }
    od
}

/* ---- Node ---------------------------------------------------------------- */

inline forget_counts() {
    confirming = false;
    counted[0] = 0;
    counted[1] = 0;
    counted[2] = 0;
    confirmed[0] = false;
    confirmed[1] = false;
    confirmed[2] = false
}

#define RECEIVE_NODE_PUSH(number) \
    d_step { \
        node_recovered && number <= accepted && \
        IS_NEWER_HERE(number) -> \
        node_document = number; \
        forget_counts() \
    }

#define RECEIVE_NODE_REPLY(u) \
    d_step { \
        !node_recovered && MAY_ANSWER(u) && node_reply[u] == 0 -> \
        node_reply[u] = document[u] + 1 \
    }

inline raise_node(number) {
    if
    :: number > node_document -> node_document = number
    :: else -> skip
    fi
}

#define REPLIES \
    ((node_reply[0] != 0) + (node_reply[1] != 0) + (node_reply[2] != 0))

#ifdef ONE_STALE_PEER
#define MAY_NODE_RECOVER (REPLIES >= 1)
#else
#define MAY_NODE_RECOVER (REPLIES >= 2)
#endif

inline node_recover() {
    node_recovered = true;
    node_reply[0] = 0;
    node_reply[1] = 0;
    node_reply[2] = 0
}

/* Does not count for a revision that this node already has in force, since that
   would have no effect. */
#define MAY_COUNT \
    (node_recovered && !confirming && node_document != node_floor)

/* Incarnation i of w has reported that it holds the node's document or a later
   one; the report may be received late. */
#define IS_REPORTED(w, i) (REPORTED(w, i) >= node_document)

#ifdef NO_MAJORITY
#define MAJORITY 1
#define COUNT(w, i, u, j) \
    d_step { \
        MAY_COUNT && IS_REPORTED(w, i) -> \
        counted[w] = i; \
        confirming = true \
    }
#elif defined(CONFIRM_EARLY)
#define MAJORITY 2
#define COUNT(w, i, u, j) \
    d_step { \
        MAY_COUNT && IS_REPORTED(w, i) && counted[w] == 0 -> \
        counted[w] = i \
    }
#else
#define MAJORITY 2
#define COUNT(w, i, u, j) \
    d_step { \
        MAY_COUNT && IS_REPORTED(w, i) && IS_REPORTED(u, j) -> \
        counted[w] = i; \
        counted[u] = j; \
        confirming = true \
    }
#endif

#define COUNT_FIRST(w, i) \
    COUNT(w, i, NEXT(w), 1) \
    :: COUNT(w, i, NEXT(w), 2) \
    :: COUNT(w, i, NEXT(w), 3)

#define COUNTED ((counted[0] != 0) + (counted[1] != 0) + (counted[2] != 0))
#define CONFIRMED (confirmed[0] + confirmed[1] + confirmed[2])

#ifdef CONFIRM_EARLY
#define MAY_CONFIRM (COUNTED >= 1)
#else
#define MAY_CONFIRM (confirming)
#endif

#ifdef ANY_INCARNATION
#define SAME_INCARNATION(w) true
#else
#define SAME_INCARNATION(w) (counted[w] == incarnation[w])
#endif

/* A witness confirms; the request was sent after `confirming` was set. */
#define RECEIVE_CONFIRMATION(w) \
    d_step { \
        MAY_CONFIRM && counted[w] != 0 && SAME_INCARNATION(w) && \
        !confirmed[w] && recovered[w] && document[w] >= node_document -> \
        confirmed[w] = true \
    }

#if defined(NO_CONFIRM) || defined(ALT_KEY_ONLY)
#define IS_HELD_BY_MAJORITY (COUNTED >= MAJORITY)
#else
#define IS_HELD_BY_MAJORITY (CONFIRMED >= MAJORITY)
#endif

proctype node() {
end:
    do
    :: RECEIVE_NODE_PUSH(1)
    :: RECEIVE_NODE_PUSH(2)
    :: RECEIVE_NODE_PUSH(3)
    :: RECEIVE_NODE_REPLY(0)
    :: RECEIVE_NODE_REPLY(1)
    :: RECEIVE_NODE_REPLY(2)
    :: d_step {
        !node_recovered && MAY_NODE_RECOVER ->
        raise_node(node_reply[0] - 1);
        raise_node(node_reply[1] - 1);
        raise_node(node_reply[2] - 1);
        node_recover();
#ifdef REACH_NODE_RECOVERY
        assert(node_floor == FIRST_REVISION)
#endif
       }
    :: d_step {
        !node_recovered ->
        raise_node(accepted);
        node_recover()
       }
    :: COUNT_FIRST(0, 1)
    :: COUNT_FIRST(0, 2)
    :: COUNT_FIRST(0, 3)
    :: COUNT_FIRST(1, 1)
    :: COUNT_FIRST(1, 2)
    :: COUNT_FIRST(1, 3)
    :: COUNT_FIRST(2, 1)
    :: COUNT_FIRST(2, 2)
    :: COUNT_FIRST(2, 3)
    :: RECEIVE_CONFIRMATION(0)
    :: RECEIVE_CONFIRMATION(1)
    :: RECEIVE_CONFIRMATION(2)
    /* Puts its document in force. */
    :: d_step {
        node_recovered && IS_HELD_BY_MAJORITY ->
        assert(node_document >= node_floor);
        node_floor = node_document;
        if
        :: node_document > in_force -> in_force = node_document
        :: else -> skip
        fi;
        forget_counts();
#ifdef REACH_IN_FORCE
        assert(in_force < LAST_REVISION || restarts < RESTARTS ||
               replacements < REPLACEMENTS)
#endif
       }
    /* Receives the announcement that another process has the node's document,
       or a later one, in force. This remains true, so no count is needed. */
    :: d_step {
        node_recovered && node_document <= in_force &&
        node_document != node_floor ->
        assert(node_document >= node_floor);
        node_floor = node_document;
        forget_counts()
       }
    /* A confirmation is not received: restarts the count. */
    :: d_step { COUNTED != 0 -> forget_counts() }
    :: d_step {
        replacements < REPLACEMENTS ->
        replacements++;
        node_recovered = false;
        node_document = 0;
        node_floor = in_force;
        node_reply[0] = 0;
        node_reply[1] = 0;
        node_reply[2] = 0;
        forget_counts()
       }
    od
}

init {
    atomic {
        REPORTED(0, 1) = FIRST_REVISION;
        REPORTED(1, 1) = FIRST_REVISION;
        REPORTED(2, 1) = FIRST_REVISION;
        run platform();
        run witness(0);
        run witness(1);
        run witness(2);
        run node()
    }
}
