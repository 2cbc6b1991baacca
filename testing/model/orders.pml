/* Load and unload orders of an agent to its engine, some of which take effect
 * late.
 *
 * The engine has SLOTS adapter slots and fails if a load exceeds them. An
 * order names the incarnation that it is meant for and the number of orders
 * that the engine must have accepted before. An unacknowledged order is lost
 * or takes effect at any later time, possibly in the next incarnation. The
 * next incarnation has a new id or the same one and counts orders from 0.
 * After a restart the engine accepts orders for adapters only once the agent
 * has had its base model loaded.
 *
 * Property: no more than SLOTS adapters are resident.
 * Mutations that must violate it: -DNO_EXPECT (orders don't name the number of
 * orders), -DNO_RESERVE (no slot is reserved after a restart), -DONE_RESERVED
 * (one slot is reserved for any number of unacknowledged loads). -DNO_NAME
 * (orders don't name the incarnation) must not violate it: the reserved slots
 * also cover an engine that restarts under a new id.
 */

#define SLOTS 2
#define UNACKED_MAX 2
#define ORDERS_MAX 5 /* orders in one incarnation */

/* State of the engine: id and number of its incarnation, accepted orders,
 * resident adapters. */
byte id = 1;
byte incarnation = 0;
byte accepted = 0;
byte resident = 0;
bool has_model = true;

/* Unacknowledged orders; pending ones can still take effect. */
bool unacked_pending[UNACKED_MAX];
bool unacked_is_load[UNACKED_MAX];
byte unacked_id[UNACKED_MAX];
byte unacked_expected[UNACKED_MAX];
byte n_unacked = 0;

/* State of the agent: which of these orders are loads, and which were meant
 * for a former incarnation. */
bool load_unacked[UNACKED_MAX];
bool former_incarnation[UNACKED_MAX];

#ifdef NO_NAME
#define IS_ADDRESSED(x) has_model
#else
#define IS_ADDRESSED(x) (has_model && (x) == id)
#endif
#ifdef NO_EXPECT
#define IS_EXPECTED(x) true
#else
#define IS_EXPECTED(x) ((x) == accepted)
#endif

inline execute_order(load)
{
    accepted++;
    if
    :: load -> resident++; assert(resident <= SLOTS)
    :: !load && resident > 0 -> resident--
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
        incarnation++; accepted = 0; resident = 0; has_model = false;
        if
        :: id++
        :: skip
        fi
    }
    :: atomic {
        unacked_pending[0] || unacked_pending[1] ->
        if
        :: unacked_pending[0] -> i = 0
        :: unacked_pending[1] -> i = 1
        fi;
        unacked_pending[i] = false;
        if
        :: IS_ADDRESSED(unacked_id[i]) && IS_EXPECTED(unacked_expected[i]) &&
           accepted < ORDERS_MAX + UNACKED_MAX ->
            execute_order(unacked_is_load[i])
        :: else -> skip
        fi
    }
    od
}

/* Computes the slots to reserve once the engine has accepted `orders` orders.
 * Unacknowledged loads that would take effect one after the other, j orders
 * later, need a slot each, less the unloads that are possible before them. */
byte reserved;
inline compute_reserved(orders)
{
    reserved = 0;
#ifndef NO_RESERVE
    byte j = 0, n_loads;
    do
    :: j <= UNACKED_MAX ->
        n_loads = 0;
        do
        :: (load_unacked[0] && former_incarnation[0] &&
            unacked_expected[0] == orders + j + n_loads) ||
           (load_unacked[1] && former_incarnation[1] &&
            unacked_expected[1] == orders + j + n_loads) ->
            n_loads++
        :: else -> break
        od;
        if
        :: j > 1 && n_loads > 0 -> n_loads = n_loads - (j - 1)
        :: else -> skip
        fi;
        /* A difference below 0 wraps to 128 or more. */
        if
        :: n_loads < 128 && n_loads > reserved -> reserved = n_loads
        :: else -> skip
        fi;
        j++
    :: else -> break
    od;
#ifdef ONE_RESERVED
    if
    :: reserved > 1 -> reserved = 1
    :: else -> skip
    fi
#endif
#endif
}

proctype Agent()
{
    byte known_id = 0, known_accepted = 0, known_resident = 0;
    byte known_incarnation = 0;
    bool known = false, load, has_order;

end:
    do
    :: atomic {
        !known ->
        known_id = id; known_accepted = accepted; known_resident = resident;
        if
        :: incarnation != known_incarnation ->
            known_incarnation = incarnation;
            former_incarnation[0] = load_unacked[0];
            former_incarnation[1] = load_unacked[1]
        :: else -> skip
        fi;
        known = true
    }
    :: atomic { known && !has_model && incarnation == known_incarnation ->
        has_model = true; accepted++; known = false
    }
    :: known && known_accepted < ORDERS_MAX ->
        atomic {
            compute_reserved(known_accepted);
            if
            :: known_resident + reserved < SLOTS ->
                load = true; has_order = true
            :: known_resident > 0 -> load = false; has_order = true
            :: else -> has_order = false
            fi
        }
        if
        :: !has_order -> known = false
        :: has_order ->
            if
            :: atomic { /* order received and acknowledged */
                if
                :: IS_ADDRESSED(known_id) && IS_EXPECTED(known_accepted) ->
                    execute_order(load);
                    known_accepted++;
                    if
                    :: load -> known_resident++
                    :: else -> known_resident--
                    fi
                :: else -> known = false
                fi
            }
            :: atomic { /* order not acknowledged */
                n_unacked < UNACKED_MAX ->
                unacked_pending[n_unacked] = true;
                unacked_is_load[n_unacked] = load;
                unacked_id[n_unacked] = known_id;
                unacked_expected[n_unacked] = known_accepted;
                load_unacked[n_unacked] = load;
                n_unacked++;
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
