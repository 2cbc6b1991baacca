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

mtype = { SUBMIT, SEAL, REFUSED, STARTED, SEALED, ALREADY_STARTED };

/* The record in the object API: attempt 0 means that there is none. */
byte record_attempt = 0;
byte record_agent = 0;
byte record_incarnation = 0;
byte version = 0;
bool record_lost = false;

bool can_lose_answer = true;
bool can_crash = true;
byte starts = 0;
byte incarnation[2] = 1;

chan to_agent[2] = [4] of { mtype, byte, byte, byte }; /* id, inc., entry */
chan to_entry[2] = [4] of { mtype, byte, byte };       /* id, incarnation */

proctype Agent(byte self)
{
    bool started[ATTEMPTS];
    bool sealed[ATTEMPTS];
    mtype kind;
    byte id, expected_incarnation, sender;

end:
    do
    :: to_agent[self] ? kind, id, expected_incarnation, sender ->
        atomic {
            if
            :: kind == SUBMIT ->
                if
#ifndef NO_FENCE
                :: expected_incarnation != incarnation[self] ->
                    to_entry[sender] ! REFUSED, id, incarnation[self]
#endif
                :: else ->
                    if
                    :: sealed[id] ->
                        to_entry[sender] ! REFUSED, id, incarnation[self]
                    :: !sealed[id] && !started[id] ->
                        started[id] = true;
                        starts++;
                        assert(starts <= 1);
                        to_entry[sender] ! STARTED, id, incarnation[self]
                    :: !sealed[id] && started[id] -> skip
                    fi
                fi
            :: kind == SEAL ->
                if
                :: started[id] ->
                    to_entry[sender] ! ALREADY_STARTED, id, incarnation[self]
                :: !started[id] ->
                    sealed[id] = true;
                    to_entry[sender] ! SEALED, id, incarnation[self]
                fi
            fi
        }
    :: can_crash ->
        /* A new incarnation knows nothing of what the old one did. */
        atomic {
            can_crash = false;
            incarnation[self]++;
            started[1] = false; started[2] = false;
            started[3] = false; started[4] = false;
            sealed[1] = false; sealed[2] = false;
            sealed[3] = false; sealed[4] = false;
        }
    od
}

proctype Entry(byte self)
{
    byte number = 0;
    byte id, target, target_incarnation;
    byte read_version, read_attempt, read_agent, read_incarnation;
    bool read_lost;
    byte replaceable = 0; /* attempt whose claim may be replaced */
    mtype kind;
    byte answer_id, answer_incarnation;

next_attempt:
    if
    :: number == 2 -> goto drain /* gives up: outcome by what is known */
    :: number < 2 -> skip
    fi;
    atomic {
        number++;
        id = self * 2 + number;
        if
        :: target = 0
        :: target = 1
        fi;
        target_incarnation = incarnation[target];
    }

read:
    atomic {
        read_version = version;
        read_attempt = record_attempt;
        read_agent = record_agent;
        read_incarnation = record_incarnation;
        read_lost = record_lost;
    }
    if
    :: read_lost -> goto drain
    :: !read_lost && read_attempt == id -> goto submit /* own claim stands */
    :: !read_lost && read_attempt == replaceable -> skip  /* none, or ours */
    :: !read_lost && read_attempt != id && read_attempt != replaceable ->
        goto seal_other
    fi;

write:
    atomic {
        if
        :: version != read_version -> goto read /* conflict */
        :: version == read_version ->
            record_attempt = id;
            record_agent = target;
            record_incarnation = target_incarnation;
            version++;
            if
            :: can_lose_answer -> can_lose_answer = false; goto read /* answer lost */
            :: true -> skip
            fi
        fi
    }

submit:
    to_agent[target] ! SUBMIT, id, target_incarnation, self;
    if
    :: to_entry[self] ? kind, answer_id, answer_incarnation ->
        if
        :: kind == REFUSED && answer_id == id &&
           answer_incarnation == target_incarnation ->
            replaceable = id; goto next_attempt /* certainly not run */
        :: else -> goto drain
        fi
    :: true -> goto drain /* silence: the caller is told "unknown" */
    fi;

seal_other:
    /* Another attempt holds the claim: its agent has to seal it first. */
#ifdef NO_SEAL
    replaceable = read_attempt;
    goto read;
#endif
    to_agent[read_agent] ! SEAL, read_attempt, read_incarnation, self;
    if
    :: to_entry[self] ? kind, answer_id, answer_incarnation ->
        if
        :: answer_incarnation != read_incarnation ->
            /* Gone for good: nobody can tell any more. */
            atomic {
                if
                :: record_attempt == read_attempt -> record_lost = true;
                   version++
                :: else -> skip
                fi
            }
            goto drain
        :: answer_incarnation == read_incarnation && kind == SEALED ->
            replaceable = read_attempt; goto read
        :: else -> goto drain /* reads along */
        fi
    :: true -> goto drain
    fi;

drain:
    /* Late answers are of no interest any more. */
end:
    do
    :: to_entry[self] ? kind, answer_id, answer_incarnation
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
