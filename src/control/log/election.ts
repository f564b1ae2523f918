/** Raft elections with pre-vote, and the bootstrap election of a new log.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as lease from "./lease.ts";
import * as members from "./members.ts";
import * as replicaId from "./replica_id.ts";
import * as replication from "./replication.ts";
import type * as state from "./state.ts";

/** Starts a pre-vote or a bootstrap election and probes the other hosts when no
 * leader was heard within the election timeout.
 *
 * A candidate whose votes are still due asks for them once more in the same term.
 * A new term would void votes that voters are still writing to their disks: with
 * disks slower than the retry timeout, no candidate would ever win. */
export function handleElectionTimeout(draft: drafts.Draft): void {
  drafts.resetElectionTimer(draft);
  const { state } = draft;
  state.incomingSnapshot = undefined;
  if (drafts.isVoter(state)) continueElection(draft);
  else if (mayBootstrap(state)) {
    return startElection(draft, initialVotersOf(state));
  } else drafts.becomeFollower(draft, state.term);
  sendProbes(draft);
}

/** Starts an election without a pre-vote at the leader's request. */
export function handleTimeoutNow(
  draft: drafts.Draft,
  from: string,
  body: schema.TimeoutNow,
): void {
  const { state } = draft;
  if (body.term !== state.term || state.leader !== from) return;
  if (drafts.isVoter(state)) startElection(draft, undefined, true);
}

/** Answers a vote request. A request that arrives while a leader is active is
 * ignored, unless the leader itself transfers leadership. */
export function handleVoteRequest(
  draft: drafts.Draft,
  from: string,
  body: schema.VoteRequest,
): void {
  const { state } = draft;
  if (!body.transfer && hasRecentLeader(draft)) {
    return reportDecision(draft, { from, body, outcome: "leader-heard" });
  }
  if (body.pre) return answerPreVote(draft, from, body);
  if (body.term > state.term) drafts.becomeFollower(draft, body.term);
  const outcome = voteOutcome(draft, from, body);
  reportDecision(draft, { from, body, outcome });
  const granted = outcome === "granted";
  if (granted && state.vote === undefined) {
    state.vote = from;
    drafts.persist(draft, { type: "vote", term: state.term, vote: from });
  }
  if (granted) drafts.resetElectionTimer(draft);
  const { term } = state;
  drafts.sendWhenDurable(draft, from, { type: "vote", term, granted });
}

/** Counts a vote and completes the election on a majority. */
export function handleVote(
  draft: drafts.Draft,
  from: string,
  body: schema.Vote,
): void {
  const { state } = draft;
  if (!body.granted && body.term > state.term) {
    return drafts.becomeFollower(draft, body.term);
  }
  if (!body.granted && !body.pre && body.term === state.term) {
    state.isDenied = true;
  }
  const phase = body.pre ? "pre-candidate" : "candidate";
  const term = body.pre ? state.term + 1 : state.term;
  if (state.role !== phase || body.term !== term || !body.granted) return;
  if (!state.votes.includes(from)) state.votes = [...state.votes, from];
  if (!hasWon(state)) return;
  if (body.pre) startElection(draft);
  else replication.becomeLeader(draft);
}

/** Reports whether this replica's log is empty. On the leader, a probe from a
 * desired voter that is no member is a request to join. */
export function handleProbe(draft: drafts.Draft, from: string): void {
  const { state } = draft;
  const empty = isEmpty(state);
  drafts.send(draft, from, { type: "probed", empty });
  const host = replicaId.host(from);
  if (state.role !== "leader" || !state.desiredVoters.includes(host)) return;
  if (members.has(drafts.currentMembers(state), from)) return;
  state.joining = { ...state.joining, [host]: from };
}

/** Records whether another replica's log is empty, and starts the bootstrap
 * election once all are. */
export function handleProbed(
  draft: drafts.Draft,
  from: string,
  body: schema.Probed,
): void {
  const { state } = draft;
  const { [replicaId.host(from)]: _, ...others } = state.emptyReplicas;
  state.emptyReplicas = body.empty
    ? { ...others, [replicaId.host(from)]: from }
    : others;
  if (body.empty && mayBootstrap(state) && state.role === "follower") {
    startElection(draft, initialVotersOf(state));
  }
}

function continueElection(draft: drafts.Draft): void {
  const { state } = draft;
  if (!isElectionOpen(state) || state.hasRetried) return startPreVote(draft);
  reportTimeout(draft, "repeat");
  state.hasRetried = true;
  drafts.resetRetryTimer(draft);
  // Until its own vote is durable, the first requests have not been sent.
  if (state.synced === state.written) {
    requestVotes(draft, { term: state.term });
  }
}

function startPreVote(draft: drafts.Draft): void {
  const { state } = draft;
  reportTimeout(draft, "pre-vote");
  state.hasRetried = state.role !== "follower";
  drafts.setRole(draft, "pre-candidate");
  drafts.resetRetryTimer(draft);
  state.votes = [state.id];
  if (hasWon(state)) return startElection(draft);
  requestVotes(draft, { term: state.term + 1, pre: true });
}

function startElection(
  draft: drafts.Draft,
  initialVoters?: readonly string[],
  transfer?: boolean,
): void {
  const { state } = draft;
  // Terms must not repeat when the log is bootstrapped again after all disks
  // were lost.
  state.term = Math.max(
    state.term + 1,
    initialVoters ? state.minBootstrapTerm : 0,
  );
  state.vote = state.id;
  state.votes = [];
  state.isDenied = false;
  state.hasRetried = false;
  state.initialVoters = initialVoters;
  state.emptyReplicas = {};
  drafts.setRole(draft, "candidate");
  drafts.resetRetryTimer(draft);
  const { term, id } = state;
  drafts.persist(draft, { type: "vote", term, vote: id });
  drafts.sendWhenDurable(draft, id, { type: "vote", term, granted: true });
  requestVotes(draft, { term, ...(transfer && { transfer }) });
}

type VoteRequestFields = Pick<schema.VoteRequest, "term" | "pre" | "transfer">;

function requestVotes(draft: drafts.Draft, fields: VoteRequestFields): void {
  const { state } = draft;
  for (const id of state.initialVoters ?? drafts.otherVoters(state)) {
    if (id !== state.id) requestVote(draft, id, fields);
  }
}

function requestVote(
  draft: drafts.Draft,
  to: string,
  fields: VoteRequestFields,
): void {
  const { index: lastIndex, term: lastTerm } = draft.state.log.last;
  const type = "vote-request" as const;
  const request = { type, lastIndex, lastTerm, ...fields };
  if (fields.pre) drafts.send(draft, to, request);
  else drafts.sendWhenDurable(draft, to, request);
}

function answerPreVote(
  draft: drafts.Draft,
  from: string,
  body: schema.VoteRequest,
): void {
  const { state } = draft;
  const outcome = preVoteOutcome(state, from, body);
  reportDecision(draft, { from, body, outcome });
  if (outcome === "candidate") return;
  if (outcome === "rival") {
    // The rival may have ignored the first request because it had still heard
    // the leader then.
    return requestVote(draft, from, { term: state.term + 1, pre: true });
  }
  const granted = outcome === "granted";
  // With simultaneous candidates neither would win if all votes are needed, so
  // the one with the greater id withdraws.
  const stepsAside = granted && state.role === "pre-candidate" &&
    from < state.id;
  if (stepsAside) {
    drafts.becomeFollower(draft, state.term);
    drafts.resetRetryTimer(draft);
  }
  const term = granted ? body.term : state.term;
  drafts.send(draft, from, { type: "vote", term, granted, pre: true });
}

function voteOutcome(
  { state }: drafts.Draft,
  from: string,
  body: schema.VoteRequest,
): state.VoteOutcome {
  if (body.term !== state.term) return "term-outdated";
  const isFree = state.vote === undefined || state.vote === from;
  if (!isFree) return "voted-for-another";
  return isUpToDate(state, body) ? "granted" : "log-behind";
}

/** Whether this voter is a candidate that may still win in the current term: no
 * voter has denied its vote. A pre-vote that it granted now could void the votes
 * that others are writing to their disks. */
function isElectionOpen(from: state.State): boolean {
  return from.role === "candidate" && !from.isDenied && drafts.isVoter(from);
}

function preVoteOutcome(
  own: state.State,
  from: string,
  body: schema.VoteRequest,
): state.VoteOutcome {
  if (isElectionOpen(own)) return "candidate";
  if (body.term <= own.term) return "term-outdated";
  if (!isUpToDate(own, body)) return "log-behind";
  return hasPrecedence(own, from, body) ? "rival" : "granted";
}

/** Whether this pre-candidate goes before a simultaneous one, which withdraws:
 * its log is as long, and its id is smaller. Only on its first attempt, since it
 * may be the one that can't reach a majority. */
function hasPrecedence(
  { id, role, log, hasRetried }: state.State,
  from: string,
  { lastIndex, lastTerm }: schema.VoteRequest,
): boolean {
  return role === "pre-candidate" && !hasRetried && id < from &&
    lastIndex === log.last.index && lastTerm === log.last.term;
}

interface AnsweredRequest {
  readonly from: string;
  readonly body: schema.VoteRequest;
  readonly outcome: state.VoteOutcome;
}

function reportDecision(
  draft: drafts.Draft,
  { from, body, outcome }: AnsweredRequest,
): void {
  draft.effects.push({
    type: "vote-decision",
    decision: {
      candidate: replicaId.host(from),
      term: body.term,
      isPreVote: body.pre ?? false,
      outcome,
      leaderHeardMs: leaderHeardMs(draft),
    },
  });
}

function reportTimeout(
  draft: drafts.Draft,
  action: state.ElectionAction,
): void {
  const { state: { term, votes } } = draft;
  draft.effects.push({
    type: "election-timeout",
    timeout: {
      action,
      term,
      votes: votes.map((id) => replicaId.host(id)),
      leaderHeardMs: leaderHeardMs(draft),
    },
  });
}

function leaderHeardMs({ state, now }: drafts.Draft): number {
  return Math.round(now - state.lastLeaderContact);
}

/** Whether a leader was heard within the minimum election timeout; on a leader,
 * whether a majority has answered it within that time. */
function hasRecentLeader(draft: drafts.Draft): boolean {
  const { state, now } = draft;
  const last = state.role === "leader"
    ? lease.lastMajorityContact(state)
    : state.lastLeaderContact;
  return now < last + state.timing.minElectionTimeout;
}

function isUpToDate(state: state.State, body: schema.VoteRequest): boolean {
  const { index, term } = state.log.last;
  if (body.lastTerm !== term) return body.lastTerm > term;
  return body.lastIndex >= index;
}

/** Whether the votes suffice: those of all initial voters in a bootstrap
 * election, of a majority of the voters in any other. */
function hasWon(state: state.State): boolean {
  if (state.initialVoters) {
    return state.votes.length === state.initialVoters.length;
  }
  const { voters } = drafts.currentMembers(state);
  const votes = state.votes.filter((id) => voters.includes(id));
  return votes.length >= members.majority(voters);
}

function isEmpty(state: state.State): boolean {
  return state.log.last.index === 0;
}

/** Whether this replica may bootstrap the log: only the first desired voter by
 * name does, once all others have reported an empty log. */
function mayBootstrap(state: state.State): boolean {
  const host = replicaId.host(state.id);
  const first = [...state.desiredVoters].sort()[0];
  const others = state.desiredVoters.filter((other) => other !== host);
  return state.isBootstrap && isEmpty(state) && host === first &&
    others.every((other) => state.emptyReplicas[other] !== undefined);
}

function initialVotersOf(state: state.State): string[] {
  const own = replicaId.host(state.id);
  return state.desiredVoters.map((host) =>
    host === own ? state.id : state.emptyReplicas[host]
  );
}

/** Hosts that a replica which is no member probes to be added. Only the leader
 * adds members, and it may run on a host that this replica's settings, which
 * may be outdated, don't name; so the other known hosts are probed too. */
export function probeTargets(
  { desiredVoters, knownHosts }: state.State,
): string[] {
  return [...new Set([...desiredVoters, ...knownHosts])];
}

/** Probes all other hosts that may run a replica. */
function sendProbes(draft: drafts.Draft): void {
  const { state } = draft;
  const own = replicaId.host(state.id);
  state.emptyReplicas = {};
  for (const host of probeTargets(state)) {
    if (host !== own) drafts.sendHost(draft, host, { type: "probe" });
  }
}
