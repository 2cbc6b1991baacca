/* Permits of a retry reserve of SEEDS units: each seed holds one of them, and
 * grants a permit from it again once the former one has left the window. Seeds
 * are killed and begin anew; permits outlive them at gateways, and are used at
 * any moment while they are valid.
 *
 * Checked: in no window of W ticks more permits are used than the reserve has.
 *
 * Mutations: NO_QUIET (a seed that has just started grants at once),
 * SHORT_HOLD (the time for which a permit is valid is not counted). Not a
 * mutation: ONE_CLOCK (a seed's clock stops while its machine is suspended, so
 * that it grants later than it could).
 */

#define SEEDS 2
#define PERMITS 4
#define W 3
#define VALID 1
#ifdef SHORT_HOLD
#define HOLD W
#else
#define HOLD (W + VALID)
#endif

byte held[SEEDS];     /* ticks until the unit may be granted again */
byte quiet[SEEDS];    /* ticks until a seed that has started grants */
byte permit[PERMITS]; /* ticks for which it is valid, plus one; 0 for none */
byte used[W];         /* permits used in the tick so many ticks ago */
byte kills = 3;
bool suspended;

inline tick()
{
    d_step {
        i = W - 1;
        do
        :: i > 0 -> used[i] = used[i - 1]; i--
        :: else -> break
        od;
        used[0] = 0;
        i = 0;
        do
        :: i < SEEDS ->
#ifdef ONE_CLOCK
            if
            :: suspended && i == 0 -> skip
            :: else ->
                held[i] = held[i] - (held[i] > 0);
                quiet[i] = quiet[i] - (quiet[i] > 0)
            fi;
#else
            held[i] = held[i] - (held[i] > 0);
            quiet[i] = quiet[i] - (quiet[i] > 0);
#endif
            i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < PERMITS -> permit[i] = permit[i] - (permit[i] > 0); i++
        :: else -> break
        od
    }
}

active proctype system()
{
    byte i, s, p;
    do
    :: tick()
    /* A seed grants its unit; the answer may be lost. */
    :: atomic {
        select (s : 0 .. SEEDS - 1);
        if
        :: quiet[s] == 0 && held[s] == 0 ->
            held[s] = HOLD;
            select (p : 0 .. PERMITS - 1);
            if
            :: permit[p] == 0 -> permit[p] = VALID + 1
            :: skip
            fi
        :: else
        fi
    }
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: permit[p] > 0 ->
            permit[p] = 0;
            used[0]++;
            assert(used[0] + used[1] + used[2] <= SEEDS)
        :: else
        fi
    }
    :: atomic {
        kills > 0 ->
        kills--;
        select (s : 0 .. SEEDS - 1);
        held[s] = 0;
#ifdef NO_QUIET
        quiet[s] = 0
#else
        quiet[s] = HOLD
#endif
    }
    :: suspended = !suspended
    od
}
