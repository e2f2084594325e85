/* An availability zone that is evacuated, in discrete time.
 *
 * The key that evacuates the zone is published at time 0 and reaches every process that
 * runs and can be reached by time SPREAD.  A process that has it lets the share of the
 * zone fall for FALL, and at once if it learns later or from its first view.  Balancers
 * and peers may learn any time later, or never.  The agent beside the target may be
 * restarted, which loses its view, its table and its queue, or be suspended; a packet
 * that arrives meanwhile waits in its socket.  Its first view, and a view that is
 * confirmed after a suspension, have the key if they come at SPREAD or later.
 *
 * A client uses a port for one flow and then for another.  A SYN of either is new,
 * retransmitted or forwarded, with or without the order to take it; the agent delivers
 * it, queues it or sends it away.  It has the initial sequence number of the flow in
 * its table unless it was restarted and saw only later packets of the flow.
 *
 * no_late_opening   no SYN reaches the target after BOUND
 * open_flow_stays   a retransmitted SYN of an open flow does not remove the flow
 *
 * Mutants: NO_REFUSAL, QUEUE_UNCHECKED, RETRANSMISSION_UNCHECKED, MUST_TAKE_UNCHECKED,
 * UNKNOWN_ISN_UNCHECKED, NO_VIEW_WAIT, FALL_AFTER_RESTART, LATE_FALL, NO_CATCH_UP,
 * OPEN_FLOW_MOVED.
 */

#define SPREAD 2
#define FALL 1
#define BOUND (SPREAD + FALL)
#define HORIZON (BOUND + 3)
#define NEVER 99
#define NONE 0                /* no flow in the table */
#define SENT 1                /* its SYN was delivered and not answered */
#define OPEN 2

byte now;                     /* time since the key was published */
bool balancer_knows;
bool has_view = true;         /* the agent holds a view */
bool agent_knows;             /* it has the key */
byte closed_at = NEVER;       /* when the agent's share is 0 */
bool is_suspended;
bool is_behind;               /* resumed, and no view was confirmed since */
byte flow;                    /* the agent's table: NONE, SENT or OPEN */
byte known_isn;               /* sequence number of that flow, 0 if unknown */
bool is_open;                 /* the target has an open flow */
byte queued;                  /* sequence number of the queued SYN, or 0 */
bool syn_waits;               /* a SYN is on its way or in the agent's socket */
byte syn_isn;
bool syn_must_take;
byte isn = 1;                 /* sequence number of the client's present flow */

#define running (!is_suspended)
#define is_closed (agent_knows && now >= closed_at)

#ifdef NO_CATCH_UP
#define is_unsure false
#else
#define is_unsure is_behind
#endif

#ifdef NO_VIEW_WAIT
#define lacks_view false
#else
#define lacks_view (!has_view)
#endif

#ifdef NO_REFUSAL
#define withheld false
#else
#define withheld (is_closed || is_unsure || lacks_view)
#endif

#ifdef QUEUE_UNCHECKED
#define queue_withheld false
#else
#define queue_withheld withheld
#endif

#ifdef RETRANSMISSION_UNCHECKED
#define retransmission_withheld false
#else
#define retransmission_withheld withheld
#endif

#ifdef MUST_TAKE_UNCHECKED
#define new_withheld (withheld && !syn_must_take)
#else
#define new_withheld withheld
#endif

/* The agent learns of the key, from an update or in its first view. */
inline learn(is_first) {
    if
    :: agent_knows -> skip
    :: else ->
       agent_knows = true;
       if
#ifndef FALL_AFTER_RESTART
       :: is_first -> closed_at = now
#endif
#ifndef LATE_FALL
       :: !(is_first) && now > SPREAD -> closed_at = now
#endif
       :: else -> closed_at = now + FALL
       fi
    fi
}

inline deliver(number) {
    assert(now <= BOUND);                        /* no_late_opening */
    flow = SENT;
    known_isn = number
}

/* Time passes; what must have happened by a time happens before it. */
active proctype Clock()
{
end:
    do
    /* An agent that runs has the key by SPREAD, unless it waits for a view.  It moves
     * its queue once the zone is closed. */
    :: atomic { (now < HORIZON
                && (now < SPREAD || is_suspended || is_behind || !has_view
                    || agent_knows)
                && (is_suspended || !queued || !queue_withheld)) ->
           now++ }
    od
}

active proctype Balancer()
{
end:
    do
    :: atomic { !balancer_knows -> balancer_knows = true }
    /* A SYN of any kind, by a balancer or peer that does not know. */
    :: atomic { (!syn_waits && !balancer_knows) ->
           syn_waits = true;
           syn_isn = isn;
           if
           :: syn_must_take = true
           :: syn_must_take = false
           fi }
    /* A balancer that knows still sends retransmissions to the flow's agent. */
    :: atomic { (!syn_waits && balancer_knows) ->
           syn_waits = true;
           syn_isn = isn;
           syn_must_take = true }
    /* The client uses its port for another flow. */
    :: atomic { (isn == 1 && !syn_waits) -> isn = 2; is_open = false }
    od
}

active proctype Agent()
{
    byte restarts;
    byte suspensions;
end:
    do
    :: atomic { (running && has_view && !agent_knows && !is_behind) -> learn(false) }
    /* A SYN arrives. */
    :: atomic { (running && syn_waits) ->
           syn_waits = false;
           if
#ifdef UNKNOWN_ISN_UNCHECKED
           :: (flow != NONE && known_isn == 0) -> deliver(syn_isn)
#endif
           /* A retransmission, as far as the agent knows. */
           :: (flow != NONE && known_isn == syn_isn) ->
              if
              :: !retransmission_withheld && flow == SENT -> deliver(syn_isn)
              :: retransmission_withheld && flow == SENT -> flow = NONE
              :: flow == OPEN ->
#ifdef OPEN_FLOW_MOVED
                 if
                 :: withheld -> flow = NONE
                 :: else -> skip
                 fi;
#endif
                 assert(!is_open || flow == OPEN)     /* open_flow_stays */
              fi
           :: else ->
              if
              :: !new_withheld -> deliver(syn_isn); is_open = false
              :: !new_withheld && queued == 0 -> queued = syn_isn
              :: new_withheld -> skip            /* to a peer, or handed back */
              fi
           fi }
    /* A queued SYN is delivered to a free slot, or moves. */
    :: atomic { (running && queued) ->
           if
           :: queue_withheld -> skip
           :: !queue_withheld -> deliver(queued)
           fi;
           queued = 0 }
    /* The target answers, and the client completes the handshake. */
    :: atomic { (running && flow == SENT) ->
           flow = OPEN;
           if
           :: known_isn == isn -> is_open = true
           :: else -> skip
           fi }
    /* A restart: later packets of an open flow bring it back without its number. */
    :: atomic { (running && restarts == 0) ->
           restarts++;
           has_view = false;
           agent_knows = false;
           closed_at = NEVER;
           queued = 0;
           flow = NONE;
           known_isn = 0;
           if
           :: is_open -> flow = OPEN
           :: skip
           fi;
           is_behind = false }
    :: atomic { (running && !has_view) ->
           has_view = true;
           if
           :: now >= SPREAD -> learn(true)
           :: now < SPREAD -> learn(true)
           :: now < SPREAD -> skip
           fi }
    /* A suspension of any length. */
    :: atomic { (running && suspensions == 0) -> suspensions++; is_suspended = true }
    :: atomic { is_suspended ->
           is_suspended = false;
           is_behind = true }
    :: atomic { (running && is_behind && has_view) ->
           is_behind = false;
           if
           :: now >= SPREAD -> learn(false)
           :: now < SPREAD -> skip
           fi }
    od
}
