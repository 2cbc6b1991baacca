/* Requests with a key that was withdrawn.
 *
 * The store holds version 0 of the configuration, then version 1, which
 * withdraws a key. Two gateways ask the store; gateway 1 also asks gateway 0
 * for the version in force and the time since it was confirmed. A call that shows the version
 * in force confirms it; the age counts from the start of the call, by a clock
 * that goes on while the machine is suspended, and includes the age that the
 * other gateway tells. Calls take any time, and answers get lost. A gateway
 * can be suspended, and restarts with the other one's snapshot, which confirms
 * nothing. Keys are accepted up to the age ALLOWED.
 *
 * Property: no request with the withdrawn key is admitted more than LIMIT
 * ticks after the store acknowledged version 1.
 * Mutations that must violate it: -DFROM_RECEIPT (the age counts from the
 * receipt of an answer), -DSTOPPED_CLOCK (the clock stands still while the
 * machine is suspended), -DTRUST_SNAPSHOT (a snapshot confirms), -DNO_AGE (the
 * other gateway's age is taken for 0).
 *
 * With -DRESTORE the store comes back from a copy with version 0, in a later
 * era, once gateway 0 has version 1; gateway 0 does not restart then, as
 * nobody would know version 1, and no machine is suspended. -DASK_AT_START
 * must violate the property then: a gateway asks the other one what the store
 * may have lost only when it starts, and accepts keys after tries without an
 * answer. Without it, it asks again when an era begins, and accepts keys once
 * it was answered by one that knows the era. The code does so, but goes on
 * after three tries without an answer.
 */

#define LIMIT 2
#define ALLOWED 1
#define CAP 3 /* beyond LIMIT; ages stay there */
#define UNKNOWN 2

/* Calls: none, sent, answered with the answer under way. */
#define IDLE 0
#define SENT 1
#define ANSWERED 2

byte store_version = 0;
byte store_era = 1;
bool withdrawn = false;
byte since_withdrawn = 0;

/* State of each gateway: version in force or UNKNOWN, whether and how long ago
 * it was confirmed, highest era, whether the other one was asked. */
byte version[2] = UNKNOWN;
bool confirmed[2] = false;
byte age[2] = 0;
byte era[2] = 0;
bool asked[2] = false;
bool suspended[2] = false;

/* Call to the store. */
byte store_call[2] = IDLE;
byte store_call_age[2] = 0;
byte store_call_version[2] = 0;
byte store_call_era[2] = 0;

/* Call to the other gateway, for its age or for facts. */
byte peer_call[2] = IDLE;
bool peer_call_facts[2] = false;
byte peer_call_age[2] = 0;
byte peer_call_version[2] = 0;
byte peer_call_told[2] = 0;
byte peer_call_era[2] = 0;

bool can_restart = true;
#ifdef RESTORE
bool can_suspend = false; /* keeps the number of states small */
#else
bool can_suspend = true;
#endif

byte g, other;

#define ACCEPTS(x)                                                            \
    (!suspended[x] && asked[x] && confirmed[x] && age[x] <= ALLOWED &&       \
     version[x] == 0)

inline check()
{
    assert(!(since_withdrawn > LIMIT && (ACCEPTS(0) || ACCEPTS(1))))
}

inline forget_store_call()
{
    store_call[g] = IDLE;
    store_call_age[g] = 0;
    store_call_version[g] = 0;
    store_call_era[g] = 0
}

inline forget_peer_call()
{
    peer_call[g] = IDLE;
    peer_call_facts[g] = false;
    peer_call_age[g] = 0;
    peer_call_version[g] = 0;
    peer_call_told[g] = 0;
    peer_call_era[g] = 0
}

inline confirm(how_old)
{
    if
    :: !confirmed[g] || how_old < age[g] ->
        confirmed[g] = true;
        age[g] = how_old
    :: else
    fi
}

/* A version that is higher than the one in force replaces it, and was
 * confirmed no earlier than that one. */
inline apply(what)
{
    if
    :: what != UNKNOWN && (version[g] == UNKNOWN || what > version[g]) ->
        version[g] = what
    :: else
    fi
}

inline begin_era(what)
{
    if
    :: what > era[g] ->
#ifndef ASK_AT_START
        if
        :: era[g] > 0 -> asked[g] = false; forget_peer_call()
        :: else
        fi;
#endif
        era[g] = what;
        forget_store_call()
    :: else
    fi
}

inline receive_store()
{
    if
    :: store_call_era[g] < era[g] -> forget_store_call()
    :: era[g] > 0 && store_call_era[g] > era[g] -> begin_era(store_call_era[g])
    :: else ->
        era[g] = store_call_era[g];
        apply(store_call_version[g]);
#ifdef FROM_RECEIPT
        confirm(0);
#else
        confirm(store_call_age[g]);
#endif
        forget_store_call()
    fi
}

#ifdef NO_AGE
#define TOLD_AGE(x) peer_call_age[x]
#else
#define TOLD_AGE(x)                                                           \
    (peer_call_age[x] + peer_call_told[x] > CAP                              \
         -> CAP                                                               \
         : peer_call_age[x] + peer_call_told[x])
#endif

/* Facts of an earlier era don't tell what the store lost since. */
#ifdef ASK_AT_START
#define OLD_FACTS true
#else
#define OLD_FACTS false
#endif

inline receive_peer()
{
    if
    :: peer_call_facts[g] ->
        apply(peer_call_version[g]);
        if
        :: peer_call_era[g] >= era[g] || OLD_FACTS ->
            begin_era(peer_call_era[g]);
            asked[g] = true
        :: else
        fi
    :: !peer_call_facts[g] && peer_call_version[g] == version[g] ->
        confirm(TOLD_AGE(g))
    :: else
    fi;
    forget_peer_call()
}

inline restart()
{
    can_restart = false;
    version[g] = UNKNOWN;
    confirmed[g] = false;
    age[g] = 0;
    era[g] = 0;
    asked[g] = false;
    forget_store_call();
    forget_peer_call();
    if
    :: version[other] != UNKNOWN && !suspended[other] ->
        version[g] = version[other];
        era[g] = era[other];
#ifdef TRUST_SNAPSHOT
        asked[g] = true;
        confirm(0)
#endif
    :: true
    fi
}

#ifdef STOPPED_CLOCK
#define RUNS(x) !suspended[x]
#else
#define RUNS(x) true
#endif

inline grow(x)
{
    if
    :: x < CAP -> x++
    :: else
    fi
}

inline tick()
{
    d_step {
        g = 0;
        do
        :: g < 2 ->
            if
            :: RUNS(g) && confirmed[g] -> grow(age[g])
            :: else
            fi;
            if
            :: RUNS(g) && store_call[g] != IDLE -> grow(store_call_age[g])
            :: else
            fi;
            if
            :: RUNS(g) && peer_call[g] != IDLE -> grow(peer_call_age[g])
            :: else
            fi;
            g++
        :: else -> break
        od;
        g = 0;
        if
        :: withdrawn -> grow(since_withdrawn)
        :: else
        fi
    }
}

inline choose_gateway()
{
    if
    :: g = 0; other = 1
    :: g = 1; other = 0
    fi
}

/* Gateway 0 has nobody to ask. */
#ifdef ASK_AT_START
#define MAY_GIVE_UP(x) !asked[x]
#else
#define MAY_GIVE_UP(x) (x == 0 && !asked[x])
#endif

inline act()
{
    if
    :: store_call[g] == IDLE -> store_call[g] = SENT
    :: store_call[g] == ANSWERED -> receive_store()
    :: store_call[g] != IDLE -> forget_store_call()
    :: g == 1 && peer_call[g] == IDLE && version[g] != UNKNOWN -> peer_call[g] = SENT
    :: g == 1 && peer_call[g] == IDLE ->
        peer_call[g] = SENT;
        peer_call_facts[g] = true
    :: peer_call[g] == ANSWERED -> receive_peer()
    :: peer_call[g] != IDLE -> forget_peer_call()
    :: MAY_GIVE_UP(g) -> asked[g] = true
    :: can_suspend -> can_suspend = false; suspended[g] = true
    :: can_restart && (g == 1 || store_era == 1) -> restart()
    fi
}

/* The store and the other gateway read a call; suspended ones don't. */
inline answer()
{
    if
    :: store_call[g] == SENT ->
        store_call[g] = ANSWERED;
        store_call_version[g] = store_version;
        store_call_era[g] = store_era
    :: peer_call[g] == SENT && !suspended[other] &&
       version[other] != UNKNOWN &&
       (peer_call_facts[g] || confirmed[other]) ->
        peer_call[g] = ANSWERED;
        peer_call_version[g] = version[other];
        peer_call_told[g] = (peer_call_facts[g] -> 0 : age[other]);
        peer_call_era[g] = (peer_call_facts[g] -> era[other] : 0)
    :: else
    fi
}

active proctype World()
{
end:
    do
    :: atomic {
           choose_gateway();
           if
           :: !suspended[g] -> act()
           :: else -> suspended[g] = false
           fi;
           g = 0; other = 0;
           check()
       }
    :: atomic { choose_gateway(); answer(); g = 0; other = 0 }
    :: atomic { !withdrawn -> withdrawn = true; store_version = 1 }
#ifdef RESTORE
    :: atomic { store_era == 1 && withdrawn && version[0] == 1 ->
                store_era = 2; store_version = 0 }
#endif
    :: atomic { tick(); check() }
    od
}
