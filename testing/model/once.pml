/* Idempotency protocol (claim and seal) for requests that must start at most
 * once.
 *
 * Two entries handle the same idempotency key (a request and its retry), and
 * two agents can run it. An entry claims the key in a record of the object
 * API before it submits the request to an agent. To replace the claim of
 * another attempt it has that attempt sealed: the agent promises never to
 * start it. One answer of the object API can be lost, and one agent can crash.
 * Messages to agents can arrive after their sender has given up.
 *
 * Property: the request starts at most once.
 * Mutations that must violate it: with -DNO_SEAL an entry replaces a claim
 * without sealing it; with -DNO_FENCE an agent does not compare incarnations.
 */

#define ATTEMPTS 5 /* ids 1 to 4: entry * 2 + number, number 1 or 2 */

/* Requests to agents: SUBMIT, SEAL. Answers: REFUSED (will not start),
 * STARTED; SEALED, ALREADY_STARTED. */
mtype = { SUBMIT, SEAL, REFUSED, STARTED, SEALED, ALREADY_STARTED };

/* The record in the object API. Attempt 0 means that there is none. Once it is
 * marked as lost, it is unknown whether the request has started. */
byte record_attempt = 0;
byte record_agent = 0;
byte record_incarnation = 0;
byte version = 0;
bool record_lost = false;

bool can_lose_answer = true;
bool can_crash = true;
byte starts = 0;
byte incarnation[2] = 1;

/* Messages: kind, id, incarnation; to agents also the sending entry. */
chan to_agent[2] = [4] of { mtype, byte, byte, byte };
chan to_entry[2] = [4] of { mtype, byte, byte };

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
        /* A restarted agent has lost the state of all attempts. */
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
    :: number == 2 -> goto drain /* gives up after two attempts */
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
    :: !read_lost && read_attempt == id ->
        goto submit /* the claim of this attempt is stored */
    :: !read_lost && read_attempt == replaceable ->
        skip /* no claim, or one that this entry may replace */
    :: !read_lost && read_attempt != id && read_attempt != replaceable ->
        goto seal_other
    fi;

write:
    atomic {
        if
        :: version != read_version -> goto read /* write conflict */
        :: version == read_version ->
            record_attempt = id;
            record_agent = target;
            record_incarnation = target_incarnation;
            version++;
            if
            :: can_lose_answer -> /* the answer to the write is lost */
                can_lose_answer = false; goto read
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
            replaceable = id; goto next_attempt /* has not started */
        :: else -> goto drain
        fi
    :: true -> goto drain /* timeout: the caller gets the outcome "unknown" */
    fi;

seal_other:
    /* Another attempt holds the claim: its agent must seal it first. */
#ifdef NO_SEAL
    replaceable = read_attempt;
    goto read;
#endif
    to_agent[read_agent] ! SEAL, read_attempt, read_incarnation, self;
    if
    :: to_entry[self] ? kind, answer_id, answer_incarnation ->
        if
        :: answer_incarnation != read_incarnation ->
            /* The agent has restarted and lost the attempt's state. */
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
        :: else -> goto drain /* has started: its answer is used */
        fi
    :: true -> goto drain
    fi;

drain:
    /* Discards late answers. */
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
