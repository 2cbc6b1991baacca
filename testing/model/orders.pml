/* Orders of an agent to its engine, some of which are carried out late.
 *
 * The engine holds SLOTS adapters and fails if it is told to hold more. An
 * order names the incarnation it is meant for and the number of orders the
 * engine must have accepted. An order without an answer may be lost, or be
 * carried out at any later time, also by the next incarnation, which has a
 * new id or the same one, and counts its orders anew. After a restart it
 * takes orders for adapters only once the agent has had its base model loaded.
 *
 * Property: the engine never holds more than SLOTS.
 * Mutations that must fail: -DNO_EXPECT (the number of orders is left out),
 * -DNO_RESERVE (no slot stays free after a restart), -DONE_RESERVED (one slot
 * for any number of late loads). With -DNO_NAME the incarnation is left out;
 * the free slots then also cover an engine that restarts under a new id.
 */

#define SLOTS 2
#define LATE 2
#define MOST 5 /* orders in one incarnation */

/* The engine. */
byte id = 1;
byte born = 0;
byte seq = 0;
byte held = 0;
bool has_model = true;

/* Orders on their way. */
bool late_live[LATE];
bool late_load[LATE];
byte late_id[LATE];
byte late_expect[LATE];
byte n_late = 0;

/* What the agent remembers: loads without an answer, and whether they belong
 * to a former incarnation. */
bool noted[LATE];
bool former[LATE];

#ifdef NO_NAME
#define MEANT(x) has_model
#else
#define MEANT(x) (has_model && (x) == id)
#endif
#ifdef NO_EXPECT
#define IN_TURN(x) true
#else
#define IN_TURN(x) ((x) == seq)
#endif

inline carry_out(load)
{
    seq++;
    if
    :: load -> held++; assert(held <= SLOTS)
    :: !load && held > 0 -> held--
    :: else -> skip
    fi
}

proctype Engine()
{
    bool restarted = false;
    byte i;

end:
    do
    :: atomic {
        !restarted -> restarted = true;
        born++; seq = 0; held = 0; has_model = false;
        if
        :: id++
        :: skip
        fi
    }
    :: atomic {
        late_live[0] || late_live[1] ->
        if
        :: late_live[0] -> i = 0
        :: late_live[1] -> i = 1
        fi;
        late_live[i] = false;
        if
        :: MEANT(late_id[i]) && IN_TURN(late_expect[i]) && seq < MOST + LATE ->
            carry_out(late_load[i])
        :: else -> skip
        fi
    }
    od
}

/* Slots that stay free at `orders`: for late loads that would act one after
 * the other from j orders on, their number less the unloads in between. */
byte reserve;
inline find_reserve(orders)
{
    reserve = 0;
#ifndef NO_RESERVE
    byte j = 0, length;
    do
    :: j <= LATE ->
        length = 0;
        do
        :: (noted[0] && former[0] && late_expect[0] == orders + j + length) ||
           (noted[1] && former[1] && late_expect[1] == orders + j + length) ->
            length++
        :: else -> break
        od;
        if
        :: j > 1 && length > 0 -> length = length - (j - 1)
        :: else -> skip
        fi;
        if
        :: length < 128 && length > reserve -> reserve = length
        :: else -> skip
        fi;
        j++
    :: else -> break
    od;
#ifdef ONE_RESERVED
    if
    :: reserve > 1 -> reserve = 1
    :: else -> skip
    fi
#endif
#endif
}

proctype Agent()
{
    byte known_id = 0, known_seq = 0, known_held = 0, known_born = 0;
    bool known = false, load, give;

end:
    do
    :: atomic {
        !known ->
        known_id = id; known_seq = seq; known_held = held;
        if
        :: born != known_born ->
            known_born = born;
            former[0] = noted[0];
            former[1] = noted[1]
        :: else -> skip
        fi;
        known = true
    }
    :: atomic { known && !has_model && born == known_born ->
        has_model = true; seq++; known = false
    }
    :: known && known_seq < MOST ->
        atomic {
            find_reserve(known_seq);
            if
            :: known_held + reserve < SLOTS -> load = true; give = true
            :: known_held > 0 -> load = false; give = true
            :: else -> give = false
            fi
        }
        if
        :: !give -> known = false
        :: give ->
            if
            :: atomic { /* it arrives and is answered */
                if
                :: MEANT(known_id) && IN_TURN(known_seq) ->
                    carry_out(load);
                    known_seq++;
                    if
                    :: load -> known_held++
                    :: else -> known_held--
                    fi
                :: else -> known = false
                fi
            }
            :: atomic { /* no answer */
                n_late < LATE ->
                late_live[n_late] = true;
                late_load[n_late] = load;
                late_id[n_late] = known_id;
                late_expect[n_late] = known_seq;
                noted[n_late] = load;
                n_late++;
                known = false
            }
            fi
        fi
    od
}

init
{
    atomic { run Engine(); run Agent() }
}
