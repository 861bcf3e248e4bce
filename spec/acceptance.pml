/*
 * Acceptance of documents by compare-and-swap on one key.
 *
 * Each edit has an operation id and a base, the revision that its operator
 * read. Two entries handle each of the first two edits; the second may start
 * while the first is still running or after it has crashed. One entry handles
 * the third edit. A write may take effect at any later time, any number of
 * times or never, provided that the key still has the revision that the write
 * expects; its reply may be lost. An entry may crash at any point. An outage is
 * modelled as no entry taking a step.
 *
 * Broken variants: BLIND_REWRITE, REBASE, NO_HISTORY, NO_COPY,
 * REJECT_ON_TIMEOUT, REJECT_ON_UNCHANGED, REJECT_ON_FAILURE.
 * Reachability: REACH_HISTORY, REACH_ALL, REACH_REJECTED.
 */

#define OPERATIONS 3
#define FIRST_REVISION 1
#define LAST_REVISION 6

/* State of the key: the document's revision, which corresponds one to one to
   the key's modification revision, and its operation id, stored as o + 1. */
byte revision = FIRST_REVISION;
byte operation;
/* Operation id plus 1 in history/<revision>, 0 if there is none. */
byte history[LAST_REVISION + 1];

/* Edits. */
byte base[OPERATIONS]; /* 0: not submitted */
byte sent[OPERATIONS]; /* bit set of the revisions that its writes expect */
byte applied[OPERATIONS];
bool told_accepted[OPERATIONS];
bool told_rejected[OPERATIONS];

#define BIT(r) (1 << (r))

#if defined(NO_COPY)
#define CHECK_HISTORY skip
#else
#define CHECK_HISTORY assert(history[revision] == operation + 1)
#endif

/* A write of edit o takes effect. The document that it replaces must already
   be in the history. */
#define TAKE_EFFECT(o) \
    d_step { \
        (sent[o] & BIT(revision)) != 0 && revision < LAST_REVISION -> \
        CHECK_HISTORY; \
        revision++; \
        operation = o + 1; \
        applied[o]++; \
        assert(applied[o] == 1); \
        assert(!told_rejected[o]) \
    }

proctype platform() {
end:
    do
    :: TAKE_EFFECT(0)
    :: TAKE_EFFECT(1)
    :: TAKE_EFFECT(2)
    od
}

inline tell_accepted() {
    told_accepted[o] = true;
    assert(!told_rejected[o]);
    assert(applied[o] == 1);
#ifdef REACH_ALL
    assert(!told_accepted[0] || !told_accepted[1] || !told_accepted[2])
#endif
}

inline tell_rejected() {
    told_rejected[o] = true;
    assert(!told_accepted[o]);
    assert(applied[o] == 0);
#ifdef REACH_REJECTED
    assert(revision < FIRST_REVISION + 2)
#endif
}

/* The edit was accepted if its own operation produced revision base + 1, and
   rejected otherwise. */
inline decide(id) {
    if
    :: id == o + 1 -> tell_accepted()
    :: else ->
#ifdef REBASE
        again = true
#else
        tell_rejected()
#endif
    fi
}

/* An entry that handles edit o. */
proctype entry(byte o) {
    byte seen = 0;      /* revision read from the key */
    byte seen_id = 0;   /* its operation id */
    byte expects = 0;   /* revision that the write expects */
    bool again = false; /* variant REBASE: retry on the newer revision */

    d_step { /* The operator made the edit on the current document. */
        if
        :: base[o] == 0 -> base[o] = revision
        :: else -> skip
        fi;
        expects = base[o]
    }
read:
    atomic { seen = revision; seen_id = operation }
    if
    :: seen == expects -> goto write
    :: seen == expects + 1 -> d_step { decide(seen_id) }
    :: seen > expects + 1 ->
        d_step {
#ifdef NO_HISTORY
            decide(seen_id)
#else
#ifdef REACH_HISTORY
            assert(history[expects + 1] != o + 2);
#endif
            decide(history[expects + 1] - 1)
#endif
        }
    fi;
    if
    :: again -> again = false; expects = seen; goto read
    :: else -> goto done
    fi;
write:
#ifdef REJECT_ON_UNCHANGED
    if
    :: sent[o] != 0 -> d_step { tell_rejected() }; goto done
    :: else -> skip
    fi;
#endif
#ifndef NO_COPY
    history[seen] = seen_id + 1;
#endif
    sent[o] = sent[o] | BIT(expects);
    if
    /* The reply is received: the write took effect. */
    :: d_step { revision > expects && applied[o] == 1 -> tell_accepted() };
        goto done
    /* The reply reports that the key has changed, or it is lost. */
    :: skip
    fi;
#ifdef REJECT_ON_FAILURE
    if
    :: d_step { revision > expects -> tell_rejected() }; goto done
    :: skip
    fi;
#endif
#ifdef REJECT_ON_TIMEOUT
    d_step { tell_rejected() };
    goto done;
#endif
#ifdef BLIND_REWRITE
    d_step { seen = revision; seen_id = operation; expects = revision };
    goto write;
#endif
    goto read;
done:
    skip
}

init {
    atomic {
        run platform();
        run entry(0);
        run entry(0);
        run entry(1);
        run entry(1);
        run entry(2)
    }
}
