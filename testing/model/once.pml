/* Claim and seal protocol of requests that must not be repeated.
 *
 * Two entries handle the same key (the first request and its resend), two
 * agents may run it. One answer of the object API may be lost, one agent may
 * crash. Messages to agents arrive late or after their sender gave up.
 *
 * Property: the request starts at most once.
 * With -DNO_SEAL an entry takes a claim over without sealing first; with
 * -DNO_FENCE an agent does not compare incarnations. Both must fail.
 */

#define ATTEMPTS 5 /* ids 1 to 4: entry * 2 + number + 1 */

mtype = { SUBMIT, SEAL, REFUSED, STARTED, NEVER, RUNNING };

/* The record in the object API: attempt 0 means that there is none. */
byte record_attempt = 0;
byte record_agent = 0;
byte record_incarnation = 0;
byte version = 0;
bool record_lost = false;

bool lose_left = true;
bool crash_left = true;
byte runs = 0;
byte incarnation[2] = 1;

chan to_agent[2] = [4] of { mtype, byte, byte, byte }; /* id, inc., entry */
chan to_entry[2] = [4] of { mtype, byte, byte };       /* id, incarnation */

proctype Agent(byte me)
{
    bool started[ATTEMPTS];
    bool sealed[ATTEMPTS];
    mtype kind;
    byte id, wanted, from;

end:
    do
    :: to_agent[me] ? kind, id, wanted, from ->
        atomic {
            if
            :: kind == SUBMIT ->
                if
#ifndef NO_FENCE
                :: wanted != incarnation[me] ->
                    to_entry[from] ! REFUSED, id, incarnation[me]
#endif
                :: else ->
                    if
                    :: sealed[id] ->
                        to_entry[from] ! REFUSED, id, incarnation[me]
                    :: !sealed[id] && !started[id] ->
                        started[id] = true;
                        runs++;
                        assert(runs <= 1);
                        to_entry[from] ! STARTED, id, incarnation[me]
                    :: !sealed[id] && started[id] -> skip
                    fi
                fi
            :: kind == SEAL ->
                if
                :: started[id] ->
                    to_entry[from] ! RUNNING, id, incarnation[me]
                :: !started[id] ->
                    sealed[id] = true;
                    to_entry[from] ! NEVER, id, incarnation[me]
                fi
            fi
        }
    :: crash_left ->
        /* A new incarnation knows nothing of what the old one did. */
        atomic {
            crash_left = false;
            incarnation[me]++;
            started[1] = false; started[2] = false;
            started[3] = false; started[4] = false;
            sealed[1] = false; sealed[2] = false;
            sealed[3] = false; sealed[4] = false;
        }
    od
}

proctype Entry(byte me)
{
    byte number = 0;
    byte id, target, target_incarnation;
    byte seen_version, seen_attempt, seen_agent, seen_incarnation;
    bool seen_lost;
    byte expected = 0; /* attempt whose claim may be replaced */
    mtype kind;
    byte got, from_incarnation;

choose:
    if
    :: number == 2 -> goto done /* gives up: outcome by what is known */
    :: number < 2 -> skip
    fi;
    atomic {
        number++;
        id = me * 2 + number;
        if
        :: target = 0
        :: target = 1
        fi;
        target_incarnation = incarnation[target];
    }

read:
    atomic {
        seen_version = version;
        seen_attempt = record_attempt;
        seen_agent = record_agent;
        seen_incarnation = record_incarnation;
        seen_lost = record_lost;
    }
    if
    :: seen_lost -> goto done
    :: !seen_lost && seen_attempt == id -> goto submit /* own claim stands */
    :: !seen_lost && seen_attempt == expected -> skip  /* none, or ours */
    :: !seen_lost && seen_attempt != id && seen_attempt != expected ->
        goto other
    fi;

write:
    atomic {
        if
        :: version != seen_version -> goto read /* conflict */
        :: version == seen_version ->
            record_attempt = id;
            record_agent = target;
            record_incarnation = target_incarnation;
            version++;
            if
            :: lose_left -> lose_left = false; goto read /* answer lost */
            :: true -> skip
            fi
        fi
    }

submit:
    to_agent[target] ! SUBMIT, id, target_incarnation, me;
    if
    :: to_entry[me] ? kind, got, from_incarnation ->
        if
        :: kind == REFUSED && got == id &&
           from_incarnation == target_incarnation ->
            expected = id; goto choose /* certainly not run */
        :: else -> goto done
        fi
    :: true -> goto done /* silence: the caller is told "unknown" */
    fi;

other:
    /* Another attempt holds the claim: its agent has to seal it first. */
#ifdef NO_SEAL
    expected = seen_attempt;
    goto read;
#endif
    to_agent[seen_agent] ! SEAL, seen_attempt, seen_incarnation, me;
    if
    :: to_entry[me] ? kind, got, from_incarnation ->
        if
        :: from_incarnation != seen_incarnation ->
            /* Gone for good: nobody can tell any more. */
            atomic {
                if
                :: record_attempt == seen_attempt -> record_lost = true;
                   version++
                :: else -> skip
                fi
            }
            goto done
        :: from_incarnation == seen_incarnation && kind == NEVER ->
            expected = seen_attempt; goto read
        :: else -> goto done /* reads along */
        fi
    :: true -> goto done
    fi;

done:
    /* Late answers are of no interest any more. */
end:
    do
    :: to_entry[me] ? kind, got, from_incarnation
    od
}

init {
    atomic {
        run Agent(0);
        run Agent(1);
        run Entry(0);
        run Entry(1);
    }
}
