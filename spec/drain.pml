/* A target that leaves, in discrete time.
 *
 * The entry that drains the target is published at time 0 and reaches every process
 * that can be reached by time SPREAD.  A sender is a balancer or a peer agent that
 * starts new work on the target with a first datagram or an offer, which is on its way
 * for up to FLIGHT; a grant is void GRANT after it was given.  Of a sender and the
 * agent beside the target one may be paused or cut off and learn any time later; where
 * both are, nobody who gives out or takes work has heard of the entry.
 *
 * no_new_work   nothing starts on the target after BOUND
 * nothing_cut   the agent stops only when nothing is in progress: neither requests on
 *               its target nor answers that it passes on from a peer
 * stops_at_last the agent does stop
 *
 * Mutants: NO_EXCLUSION, NO_REFUSAL, LATE_GRANT, EARLY_STOP, STOP_WHILE_RELAYING,
 * NEVER_STOP.
 */

#define SPREAD 2
#define FLIGHT 1
#define GRANT 1
#define BOUND (SPREAD + FLIGHT + GRANT)
#define HORIZON (BOUND + 2)
#define SENDERS 2
#define NEVER 99

byte now;                    /* time since the entry was published */
bool knows[SENDERS];         /* the sender holds the entry */
bool senders_late;           /* the senders may learn late */
bool agent_late;             /* the agent may learn late */
bool agent_knows;
byte sent[SENDERS];          /* when the work on its way was sent, or NEVER */
byte granted[SENDERS];       /* deadline of the grant, or NEVER */
byte running;                /* requests on the target */
byte relaying;               /* answers passed on from peers */
byte relays = 2;             /* requests still to come on the agent's own flows */
byte cut;                    /* requests and answers cut by the stop */
bool is_stopped;

#ifdef NO_EXCLUSION
#define may_send(s) true
#else
#define may_send(s) (!knows[s])
#endif

#ifdef NO_REFUSAL
#define refuses false
#else
#define refuses agent_knows
#endif

#define delivered(s) (sent[s] == NEVER || now < sent[s] + FLIGHT)
#define senders_told (senders_late || (knows[0] && knows[1]))
#define agent_told (agent_late || agent_knows)

/* Time passes; what must have happened by a time happens before it. */
active proctype Clock()
{
    if
    :: senders_late = true
    :: agent_late = true
    fi;
end:
    do
    :: atomic { (now < HORIZON && delivered(0) && delivered(1)
                && (now < SPREAD || (senders_told && agent_told))) ->
           now++ }
    od
}

active [SENDERS] proctype Sender()
{
    byte s = _pid - 1;
    byte next;               /* earliest time of the next work, to bound its rate */
    sent[s] = NEVER;
    granted[s] = NEVER;
end:
    do
    :: atomic { !knows[s] -> knows[s] = true }
    /* New work for the target. */
    :: atomic { (may_send(s) && next <= now && sent[s] == NEVER
                && granted[s] == NEVER && !is_stopped) ->
           sent[s] = now;
           next = now + 1 }
    /* It arrives: granted or refused. */
    :: atomic { sent[s] != NEVER ->
           sent[s] = NEVER;
           if
           :: !refuses && !is_stopped -> granted[s] = now + GRANT
           :: else -> skip
           fi }
    /* The grant is used, or found void. */
    :: atomic { granted[s] != NEVER ->
           if
#ifdef LATE_GRANT
           :: !is_stopped ->
#else
           :: now <= granted[s] && !is_stopped ->
#endif
              assert(now <= BOUND);              /* no_new_work */
              running++
           :: now > granted[s] || is_stopped -> skip
           fi;
           granted[s] = NEVER }
    od
}

#ifdef EARLY_STOP
#define may_stop true
#else
#ifdef STOP_WHILE_RELAYING
#define may_stop (running == 0)
#else
#ifdef NEVER_STOP
#define may_stop false
#else
#define may_stop (running == 0 && relaying == 0)
#endif
#endif
#endif

/* The agent beside the target that leaves. */
active proctype Agent()
{
end:
    do
    :: atomic { !agent_knows -> agent_knows = true }
    /* A request on one of its flows goes to a peer, which answers through it. */
    :: atomic { (agent_knows && !is_stopped && relays > 0) -> relays--; relaying++ }
    :: atomic { running > 0 && !is_stopped -> running-- }
    :: atomic { relaying > 0 && !is_stopped -> relaying-- }
    :: atomic { (agent_knows && !is_stopped && now > BOUND && may_stop) ->
           cut = running + relaying;
           is_stopped = true;
           assert(cut == 0) }                    /* nothing_cut */
    :: is_stopped
    od
}

ltl stops_at_last { <> is_stopped }
