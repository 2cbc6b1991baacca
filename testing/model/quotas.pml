/* Shares of quotas that gateways delegate to arbiters.
 *
 * Three gateways own one share each. Gateways 0 and 1 can be the arbiter of
 * others; a gateway that reaches neither is its own. Each one chooses anew at
 * any time, and differently from the others, as it does while links are cut. A
 * report delegates the share for VALID ticks from its receipt. The gateway
 * counts VALID + MARGIN ticks from the sending, uses its share itself while
 * its arbiter is failing and that time is over, and delegates it elsewhere
 * only then, or once a release or a refusal (an arbiter that declines) is
 * answered. A message can be lost, its answer too; SLOW messages arrive at any
 * later time; RESTARTS gateways restart and know nothing.
 *
 * Property: the shares that can be granted from sum to at most the whole, and
 * no share is counted twice. Allowed excess, VALID ticks each: a share whose
 * delegation arrived more than MARGIN after its sending, as a frozen arbiter
 * reads it; a share whose gateway restarted, which does not know the arbiter
 * that holds it. What gateways go on to use "as before" between a failure and
 * the end of their delegation (CM_QUOTA_GAP_SHARE) is not a share and is not
 * modelled, nor are amounts.
 *
 * -DOWN_ALWAYS: an arbiter grants from its own share also while it delegates
 * it to the other arbiter. -DFORGET_UNANSWERED: a gateway whose release was
 * answered forgets an earlier report without an answer, which can still
 * arrive. -DNO_WAIT: a gateway takes its share back as soon as a report fails.
 * These mutations must violate the property.
 */

#define N 3
#define ARBITERS 2
#define VALID 2
#define MARGIN 1
#define NONE 3

#ifndef SLOW
#define SLOW 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* State of each gateway: its arbiter, the rest of its delegation, the rest of
 * the last delegation without an answer, whether the last call failed. */
byte arbiter[N] = NONE;
byte until[N] = 0;
byte unanswered[N] = 0;
bool failing[N] = false;

/* Rest of the delegations that an arbiter holds: arbiter * N + gateway. */
byte held[ARBITERS * N] = 0;

/* The slow message, and whether its sender has restarted since. */
bool slow = false;
bool slow_former = false;
byte slow_to = 0;
byte slow_from = 0;
byte slow_age = 0;

byte slow_left = SLOW;
byte restarts_left = RESTARTS;

/* Rest of the time in which a share may be counted once more. */
byte late[N] = 0;
byte restarted[N] = 0;

byte g, a, c, i;
byte uses;
byte sum;
byte allowed;

#define HELD(x, y) held[(x) * N + (y)]
#define FOR_OTHERS(x)                                                         \
    (x < ARBITERS &&                                                          \
     ((x != 0 && held[((x) % ARBITERS) * N] > 0) ||                           \
      (x != 1 && held[((x) % ARBITERS) * N + 1] > 0) ||                       \
      (x != 2 && held[((x) % ARBITERS) * N + 2] > 0)))

#ifdef OWN_ALWAYS
#define GRANTS_OWN(x) (arbiter[x] == x || FOR_OTHERS(x))
#else
#define GRANTS_OWN(x) (arbiter[x] == x)
#endif

inline check()
{
    d_step {
        sum = 0;
        allowed = N;
        i = 0;
        do
        :: i < N ->
            uses = 0;
            if
            :: (failing[i] && until[i] == 0) || GRANTS_OWN(i) -> uses++
            :: else
            fi;
            if
            :: i != 0 && HELD(0, i) > 0 -> uses++
            :: else
            fi;
            if
            :: i != 1 && HELD(1, i) > 0 -> uses++
            :: else
            fi;
            assert(uses <= 1 + (late[i] > 0) + (restarted[i] > 0));
            sum = sum + uses;
            allowed = allowed + (late[i] > 0) + (restarted[i] > 0);
            i++
        :: else -> break
        od;
        assert(sum <= allowed);
        uses = 0;
        sum = 0;
        allowed = 0;
        i = 0
    }
}

inline count_down(x)
{
    if
    :: x > 0 -> x--
    :: else
    fi
}

inline count_failure()
{
    failing[g] = true;
    unanswered[g] = VALID + MARGIN;
#ifdef NO_WAIT
    until[g] = 0
#endif
}

/* The share is back, as the arbiter says. */
inline take_back()
{
    failing[g] = false;
#ifdef FORGET_UNANSWERED
    until[g] = 0
#else
    until[g] = unanswered[g]
#endif
}

inline report()
{
    if
    :: c == g -> failing[g] = false
    :: else ->
        until[g] = VALID + MARGIN;
        if
        :: HELD(c, g) = VALID; failing[g] = false
        :: HELD(c, g) = VALID; count_failure()
        :: HELD(c, g) = 0; take_back() /* the arbiter declines */
        :: HELD(c, g) = 0; count_failure()
        :: count_failure()
        :: slow_left > 0 ->
            slow_left--;
            slow = true;
            slow_former = false;
            slow_to = c;
            slow_from = g;
            slow_age = 0;
            count_failure()
        fi
    fi
}

inline release()
{
    if
    :: HELD(arbiter[g], g) = 0; take_back()
    :: HELD(arbiter[g], g) = 0; failing[g] = true
    :: failing[g] = true
    fi
}

/* The gateway reports to the arbiter that it now holds for the right one. */
inline step()
{
    if
    :: arbiter[g] == NONE || (arbiter[g] != c && until[g] == 0) ->
        arbiter[g] = c;
        report()
    :: else ->
        if
        :: arbiter[g] == c -> report()
        :: arbiter[g] != c && !failing[g] && arbiter[g] != g -> release()
        :: else /* waits for the end of its delegation */
        fi
    fi
}

inline restart()
{
    restarts_left--;
    arbiter[g] = NONE;
    until[g] = 0;
    unanswered[g] = 0;
    failing[g] = false;
    if
    :: g < ARBITERS -> HELD(g, 0) = 0; HELD(g, 1) = 0; HELD(g, 2) = 0
    :: else
    fi;
    if
    :: slow && slow_from == g -> slow_former = true
    :: else
    fi;
    restarted[g] = VALID
}

inline deliver_slow()
{
    slow = false;
    HELD(slow_to, slow_from) = VALID;
    if
    :: slow_age > MARGIN || slow_former -> late[slow_from] = VALID
    :: else
    fi;
    slow_former = false;
    slow_to = 0;
    slow_from = 0;
    slow_age = 0
}

inline tick()
{
    d_step {
        g = 0;
        do
        :: g < N ->
            count_down(until[g]);
            count_down(unanswered[g]);
            count_down(late[g]);
            count_down(restarted[g]);
            count_down(HELD(0, g));
            count_down(HELD(1, g));
            g++
        :: else -> break
        od;
        if
        :: slow && slow_age <= MARGIN -> slow_age++
        :: else
        fi;
        g = 0
    }
}

active proctype Network()
{
end:
    do
    :: atomic {
           if
           :: g = 0
           :: g = 1
           :: g = 2
           fi;
           if
           :: c = 0
           :: c = 1
           :: c = g
           fi;
           step();
           g = 0; c = 0;
           check()
       }
    :: restarts_left > 0 -> atomic {
           if
           :: g = 0
           :: g = 1
           :: g = 2
           fi;
           restart();
           g = 0;
           check()
       }
    :: slow -> atomic { deliver_slow(); check() }
    :: atomic { tick(); check() }
    od
}
