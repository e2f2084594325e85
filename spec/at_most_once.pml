/* One non-idempotent request with an idempotency key, from its first try to its last.
 *
 * A stamp binds the key to the tenure of one agent, its home.  The caller makes up to
 * TRIES tries, one after the other: it repeats with the same stamp on any agent after
 * silence or any answer, and after NOT_RUN it may start again with a fresh stamp.
 * A try waits at an agent for any time (late message, paused process).  An agent starts
 * a try on its own target or through a hand-off: offer, grant, run.  Messages of a
 * hand-off are lost, late and repeated.  Agents restart and forget everything; an agent
 * closes its tenure for a planned stop and hands its ledger to one successor.
 *
 * at_most_once    the request runs at most once over all its tries
 * not_run_holds   once the caller was told NOT_RUN for a try, neither that try nor an
 *                 earlier one has run or will run
 *
 * Mutants: NO_FENCE, NO_WATERMARK, NO_TENURE_CHECK, NO_CLOSE, TWO_SUCCESSORS,
 * LATE_GRANT, GRANT_REUSED, VOID_NOT_KEPT, VOID_UNKNOWN,
 * VOID_UNMATCHED, LATE_RECORD, HOPEFUL_REFUSAL, SILENT_QUEUE.
 */

#define AGENTS 3
#define TRIES 3
#define STAMPS 2
#define NONE 15

mtype = { ABSENT, STARTED, DONE, EVICTED };
mtype = { UNKNOWN, HELD, USED, VOID };
mtype = { WAITING, NOT_RUN, MAY_HAVE_RUN, RAN };

/* The caller. */
byte attempt;                    /* number of the newest try, from 1 */
byte stamp;                      /* stamp of the newest try */
mtype answer = WAITING;          /* answer to the newest try */
byte told_not_run;               /* highest try answered NOT_RUN */
byte runs;                       /* how often the request ran on any target */

/* Per stamp: the tenure that issued it and the agent of that tenure. */
byte stamp_tenure[STAMPS];
byte stamp_home[STAMPS];

/* Per try. */
byte at[TRIES + 1];              /* agent where it waits, or NONE */
byte stamp_of[TRIES + 1];
bool is_first[TRIES + 1];        /* first with its stamp */
byte queued[TRIES + 1];          /* agent in whose queue it is, or NONE */

/* Per agent. */
byte tenure[AGENTS];
byte next_tenure;
bool is_closed[AGENTS];          /* starts no keyed request any more */
byte handed_to[AGENTS];          /* the one successor, or NONE */
byte holds[AGENTS];              /* closed tenure that it answers for, or 0 */

/* Ledger rows, by agent and stamp; a row of a closed tenure is a copy. */
mtype ledger[AGENTS * STAMPS];
byte refused[AGENTS * STAMPS];   /* highest try refused with NOT_RUN */
#define row(a, k) ((a) * STAMPS + (k))

/* The copy of a closed ledger on its way to successors. */
bool copy_sent[AGENTS];          /* by successor */
byte copy_tenure;
mtype copied[STAMPS];
byte copied_refused[STAMPS];

/* One hand-off at a time. */
byte offer_by = NONE;            /* home that made the offer */
byte offer_to;
byte offer_try;
bool offer_open;                 /* the home still waits for the grant */
bool offer_on_way;
bool grant_on_way;
mtype grant = UNKNOWN;           /* what the peer knows of the grant */
bool run_open;                   /* the home still waits for the outcome */
bool run_on_way;
byte repeats = 1;                /* messages that may still be repeated */
bool void_on_way;
bool done_on_way;
byte restarts = 1;

#define is_home(a, k) (tenure[a] == stamp_tenure[k] && !is_closed[a])
#define is_successor(a, k) (holds[a] != 0 && holds[a] == stamp_tenure[k])

inline execute(t)
{
    runs++;
    assert(runs <= 1);                           /* at_most_once */
    assert(t > told_not_run)                     /* not_run_holds */
}

inline tell(t, verdict)
{
    if
    :: t == attempt && answer == WAITING ->
       answer = verdict;
       if
       :: verdict == NOT_RUN ->
          assert(runs == 0);                     /* not_run_holds */
          told_not_run = t
       :: else -> skip
       fi
    :: else -> skip                              /* the caller has given up on it */
    fi
}

/* Refuse try t of stamp k at agent a, for good. */
inline refuse(a, t, k)
{
#ifndef NO_FENCE
    if
    :: refused[row(a, k)] < t -> refused[row(a, k)] = t
    :: else -> skip
    fi;
#endif
    tell(t, NOT_RUN)
}

/* Agent a, which answers for stamp k, decides on try t. */
inline decide(a, t, k)
{
    if
    :: ledger[row(a, k)] == DONE -> tell(t, RAN)
    :: ledger[row(a, k)] == STARTED -> tell(t, MAY_HAVE_RUN)
    :: ledger[row(a, k)] == EVICTED ->
#ifdef NO_WATERMARK
       queued[t] = a
#else
       tell(t, MAY_HAVE_RUN)
#endif
    :: ledger[row(a, k)] == ABSENT && t <= refused[row(a, k)] -> tell(t, NOT_RUN)
    :: ledger[row(a, k)] == ABSENT && t > refused[row(a, k)] ->
       if
       :: refuse(a, t, k)
       :: queued[t] = a
       fi
    fi
}

/* Agent a takes try t from its flow or from the agent that holds the flow. */
inline take(a, t, k)
{
    at[t] = NONE;
    if
#ifdef NO_TENURE_CHECK
    :: a == stamp_home[k] && !is_closed[a] -> decide(a, t, k)
#else
    :: is_home(a, k) -> decide(a, t, k)
#endif
    :: is_successor(a, k) -> decide(a, t, k)
    :: else ->
       if
       :: is_first[t] -> tell(t, NOT_RUN)        /* 428 with a fresh stamp */
       :: else ->
          if
          :: a != stamp_home[k] -> at[t] = stamp_home[k]
          :: a == stamp_home[k] && handed_to[a] != NONE -> at[t] = handed_to[a]
#ifdef HOPEFUL_REFUSAL
          :: tell(t, NOT_RUN)                    /* home gone or unreachable */
#else
          :: tell(t, MAY_HAVE_RUN)
#endif
          fi
       fi
    fi
}

/* What must hold for try t to start at agent a. */
#ifdef NO_CLOSE
#define may_answer(a, k) (tenure[a] == stamp_tenure[k] || is_successor(a, k))
#else
#ifdef NO_TENURE_CHECK
#define may_answer(a, k) (a == stamp_home[k] || is_successor(a, k))
#else
#define may_answer(a, k) (is_home(a, k) || is_successor(a, k))
#endif
#endif
#ifdef NO_WATERMARK
#define is_new(a, t, k) ((ledger[row(a, k)] == ABSENT || ledger[row(a, k)] == EVICTED) \
    && t > refused[row(a, k)])
#else
#define is_new(a, t, k) (ledger[row(a, k)] == ABSENT && t > refused[row(a, k)])
#endif

/* Queued try t leaves the queue of agent a without starting. */
inline leave_queue(a, t, k)
{
    queued[t] = NONE;
    if
    :: ledger[row(a, k)] == ABSENT && may_answer(a, k) -> refuse(a, t, k)
    :: ledger[row(a, k)] == DONE -> tell(t, RAN)
    :: else -> tell(t, MAY_HAVE_RUN)
    fi
}

inline forget(a)
{
    byte i;
    for (i : 0 .. STAMPS - 1) {
        ledger[row(a, i)] = ABSENT;
        refused[row(a, i)] = 0
    }
    for (i : 1 .. TRIES) {
        if
        :: at[i] == a -> at[i] = NONE
        :: else -> skip
        fi;
        if
        :: queued[i] == a -> queued[i] = NONE
        :: else -> skip
        fi
    }
    i = 0;
    if
    :: offer_by == a -> offer_open = false; run_open = false; grant_on_way = false;
       void_on_way = false; done_on_way = false
    :: else -> skip
    fi;
    if
    :: offer_by != NONE && offer_to == a -> offer_on_way = false; grant = UNKNOWN
    :: else -> skip
    fi;
    holds[a] = 0;
    is_closed[a] = false;
    handed_to[a] = NONE;
    next_tenure++;
    tenure[a] = next_tenure
}

inline send_try(a, first)
{
    attempt++;
    at[attempt] = a;
    stamp_of[attempt] = stamp;
    is_first[attempt] = first;
    answer = WAITING
}

init
{
    byte a;
    byte s;
    byte t;
    byte k;
    atomic {
        for (a : 0 .. AGENTS - 1) {
            tenure[a] = a + 1;
            handed_to[a] = NONE
        }
        for (t : 0 .. TRIES) {
            at[t] = NONE;
            queued[t] = NONE
        }
        for (k : 0 .. AGENTS * STAMPS - 1) {
            ledger[k] = ABSENT
        }
        copied[0] = ABSENT;
        copied[1] = ABSENT;
        next_tenure = AGENTS;
        stamp_tenure[0] = 1;
        stamp_home[0] = 0;
        stamp_tenure[1] = 0;
        stamp_home[1] = NONE;
        a = 0; t = 0; k = 0;
        send_try(0, true)
    }
end:
    do
    /* The caller repeats with the same stamp, on any agent. */
    :: atomic { attempt < TRIES && answer != RAN ->
           select(a : 0 .. AGENTS - 1);
           send_try(a, false);
           a = 0 }
    /* The caller starts again with a fresh stamp of any agent, after NOT_RUN. */
    :: atomic { (attempt < TRIES && answer == NOT_RUN && stamp == 0) ->
           select(a : 0 .. AGENTS - 1);
           stamp = 1;
           stamp_tenure[1] = tenure[a];
           stamp_home[1] = a;
           send_try(a, true);
           a = 0 }
    /* An agent takes a try that waits for it. */
    :: atomic { (at[1] != NONE || at[2] != NONE || at[3] != NONE) ->
           if
           :: at[1] != NONE -> t = 1
           :: at[2] != NONE -> t = 2
           :: at[3] != NONE -> t = 3
           fi;
           a = at[t];
           k = stamp_of[t];
           take(a, t, k);
           a = 0; t = 0; k = 0 }
    /* A queued try starts, is offered to a peer, or leaves the queue. */
    :: atomic { (queued[1] != NONE || queued[2] != NONE || queued[3] != NONE) ->
           if
           :: queued[1] != NONE -> t = 1
           :: queued[2] != NONE -> t = 2
           :: queued[3] != NONE -> t = 3
           fi;
           a = queued[t];
           k = stamp_of[t];
           if
           :: !may_answer(a, k) || !is_new(a, t, k) -> leave_queue(a, t, k)
           :: may_answer(a, k) && is_new(a, t, k) ->
              if
              :: leave_queue(a, t, k)
              :: queued[t] = NONE;
                 ledger[row(a, k)] = DONE;
                 execute(t);
                 tell(t, RAN)
              /* The answer of its own target is lost. */
              :: queued[t] = NONE;
                 ledger[row(a, k)] = STARTED;
                 execute(t);
                 tell(t, MAY_HAVE_RUN)
              :: offer_by == NONE ->
                 offer_by = a;
                 offer_to = (a + 1) % AGENTS;
                 offer_try = t;
                 offer_open = true;
                 offer_on_way = true
              fi
           fi;
           a = 0; t = 0; k = 0 }
    /* The ledger is bounded: a row that has ended is evicted. */
    :: atomic { ledger[0] == DONE -> ledger[0] = EVICTED }
    /* The offer reaches the peer, which grants it. */
    :: atomic { offer_on_way ->
           offer_on_way = false;
           grant = HELD;
           grant_on_way = true }
    /* The home no longer waits for the grant. */
    :: atomic { offer_open -> offer_open = false }
    /* The grant arrives: the home records the start, then sends the request. */
    :: atomic { grant_on_way ->
           grant_on_way = false;
           a = offer_by;
           t = offer_try;
           k = stamp_of[t];
           if
#ifdef LATE_GRANT
           :: true ->
#else
           :: offer_open && queued[t] == a && may_answer(a, k) && is_new(a, t, k) ->
#endif
              queued[t] = NONE;
              offer_open = false;
#ifndef LATE_RECORD
              ledger[row(a, k)] = STARTED;
#endif
              run_on_way = true;
              run_open = true
           :: else -> skip
           fi;
           a = 0; t = 0; k = 0 }
    /* The peer's reservation passes its deadline. */
    :: atomic { grant == HELD -> grant = VOID }
    /* The request reaches the peer, perhaps again. */
    :: atomic { run_on_way ->
           if
           :: run_on_way = false
           :: repeats > 0 -> repeats--
           fi;
           if
           :: grant == HELD ->
#ifndef GRANT_REUSED
              grant = USED;
#endif
              execute(offer_try);
              done_on_way = true
#ifdef VOID_NOT_KEPT
           :: grant == VOID -> grant = HELD; void_on_way = true
#else
           :: grant == VOID -> void_on_way = true
#endif
#ifdef VOID_UNKNOWN
           :: grant == USED || grant == UNKNOWN -> void_on_way = true
#else
           :: grant == USED || grant == UNKNOWN -> skip
#endif
           fi }
    /* The peer says that the grant was void: it has not run and never will. */
    :: atomic { void_on_way ->
           void_on_way = false;
           a = offer_by;
           t = offer_try;
           k = stamp_of[t];
           if
#ifdef VOID_UNMATCHED
           :: ledger[row(a, k)] == STARTED && may_answer(a, k) ->
#else
           :: run_open && ledger[row(a, k)] == STARTED && may_answer(a, k) ->
#endif
              run_open = false;
              ledger[row(a, k)] = ABSENT;
              refuse(a, t, k)
           :: else -> skip
           fi;
           a = 0; t = 0; k = 0 }
    /* The answer of the peer arrives. */
    :: atomic { done_on_way ->
           done_on_way = false;
           run_open = false;
           a = offer_by;
           t = offer_try;
           k = stamp_of[t];
           if
           :: tenure[a] == stamp_tenure[k] -> ledger[row(a, k)] = DONE
           :: else -> skip
           fi;
           tell(t, RAN);
           a = 0; t = 0; k = 0 }
    /* Messages of the hand-off are lost. */
    :: atomic { offer_on_way -> offer_on_way = false }
    :: atomic { grant_on_way -> grant_on_way = false }
    :: atomic { run_on_way -> run_on_way = false }
    :: atomic { void_on_way -> void_on_way = false }
    :: atomic { done_on_way -> done_on_way = false }
    /* The home gives up on an outcome. */
    :: atomic { run_open -> run_open = false }
    /* The home or the agent of the flow gives up on an answer. */
    :: atomic { answer == WAITING && at[attempt] == NONE && queued[attempt] == NONE ->
           tell(attempt, MAY_HAVE_RUN) }
    /* An agent restarts. */
    :: atomic { restarts > 0 ->
           restarts--;
           select(a : 0 .. AGENTS - 1);
           forget(a);
           a = 0 }
    /* Planned stop of agent 0: empty the queue, close the tenure, hand on the ledger. */
    :: atomic { !is_closed[0] && tenure[0] == 1 ->
           for (t : 1 .. TRIES) {
               if
               :: queued[t] == 0 ->
#ifdef SILENT_QUEUE
                  queued[t] = NONE;
                  k = stamp_of[t];
                  copied_refused[k] = refused[row(0, k)];
                  tell(t, NOT_RUN)
#else
#ifndef NO_CLOSE
                  k = stamp_of[t];
                  leave_queue(0, t, k)
#endif
#endif
               :: else -> skip
               fi
           }
           t = 0;
           k = 0;
           offer_open = offer_open && offer_by != 0;
           is_closed[0] = true;
           copy_tenure = tenure[0];
           copied[0] = ledger[row(0, 0)];
           copied[1] = ledger[row(0, 1)];
           copied_refused[0] = refused[row(0, 0)];
           copied_refused[1] = refused[row(0, 1)];
           select(s : 1 .. AGENTS - 1);
           copy_sent[s] = true;
           handed_to[0] = s;
           s = 0 }
#ifdef TWO_SUCCESSORS
    /* No acknowledgement came: try the other one. */
    :: atomic { (handed_to[0] != NONE && !copy_sent[1 + handed_to[0] % 2]) ->
           copy_sent[1 + handed_to[0] % 2] = true;
           handed_to[0] = 1 + handed_to[0] % 2 }
#endif
    /* The copy arrives at a successor, late or never. */
    :: atomic { (copy_sent[1] || copy_sent[2]) ->
           if
           :: copy_sent[1] -> s = 1
           :: copy_sent[2] -> s = 2
           fi;
           copy_sent[s] = false;
           holds[s] = copy_tenure;
           for (k : 0 .. STAMPS - 1) {
               if
               :: stamp_tenure[k] == copy_tenure ->
                  ledger[row(s, k)] = copied[k];
                  refused[row(s, k)] = copied_refused[k]
               :: else -> skip
               fi
           }
           s = 0;
           k = 0 }
    od
}
