/** Elections: pre-vote, vote, and the first election of all.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as lease from "./lease.ts";
import * as members from "./members.ts";
import * as replicaId from "./replica_id.ts";
import * as replication from "./replication.ts";
import type * as state from "./state.ts";

/** Acts when no leader was heard for an election timeout. */
export function handleElectionTimeout(draft: drafts.Draft): void {
  drafts.resetElectionTimer(draft);
  const { state } = draft;
  state.incomingSnapshot = undefined;
  if (drafts.isVoter(state)) startPreVote(draft);
  else if (mayFound(state)) return startElection(draft, foundersOf(state));
  else drafts.becomeFollower(draft, state.term);
  probe(draft);
}

/** Stands for election without a pre-vote, as the leader has asked. */
export function handleTimeoutNow(
  draft: drafts.Draft,
  from: string,
  body: schema.TimeoutNow,
): void {
  const { state } = draft;
  if (body.term !== state.term || state.leader !== from) return;
  if (drafts.isVoter(state)) startElection(draft, undefined, true);
}

/** Answers a candidate. One that is not heeded gets no answer. */
export function handleVoteRequest(
  draft: drafts.Draft,
  from: string,
  body: schema.VoteRequest,
): void {
  const { state } = draft;
  if (!body.transfer && hearsLeader(draft)) return;
  if (body.pre) return answerPreVote(draft, from, body);
  if (body.term > state.term) drafts.becomeFollower(draft, body.term);
  const free = state.vote === undefined || state.vote === from;
  const granted = body.term === state.term && free && isUpToDate(state, body);
  if (granted && state.vote === undefined) {
    state.vote = from;
    drafts.persist(draft, { type: "vote", term: state.term, vote: from });
  }
  if (granted) drafts.resetElectionTimer(draft);
  const { term } = state;
  drafts.sendWhenDurable(draft, from, { type: "vote", term, granted });
}

/** Counts a vote. */
export function handleVote(
  draft: drafts.Draft,
  from: string,
  body: schema.Vote,
): void {
  const { state } = draft;
  if (!body.granted && body.term > state.term) {
    return drafts.becomeFollower(draft, body.term);
  }
  const phase = body.pre ? "pre-candidate" : "candidate";
  const term = body.pre ? state.term + 1 : state.term;
  if (state.role !== phase || body.term !== term || !body.granted) return;
  if (!state.votes.includes(from)) state.votes = [...state.votes, from];
  if (!hasWon(state)) return;
  if (body.pre) startElection(draft);
  else replication.becomeLeader(draft);
}

/** Answers whether this replica's log is empty; notes who wants to join. */
export function handleProbe(draft: drafts.Draft, from: string): void {
  const { state } = draft;
  const empty = isEmpty(state);
  drafts.send(draft, from, { type: "probed", empty });
  const host = replicaId.host(from);
  if (state.role !== "leader" || !state.desiredVoters.includes(host)) return;
  if (members.has(drafts.currentMembers(state), from)) return;
  state.joining = { ...state.joining, [host]: from };
}

/** Notes an empty log. */
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
  if (body.empty && mayFound(state) && state.role === "follower") {
    startElection(draft, foundersOf(state));
  }
}

function startPreVote(draft: drafts.Draft): void {
  const { state } = draft;
  drafts.setRole(draft, "pre-candidate");
  drafts.resetRetryTimer(draft);
  state.votes = [state.id];
  if (hasWon(state)) return startElection(draft);
  requestVotes(draft, { term: state.term + 1, pre: true });
}

function startElection(
  draft: drafts.Draft,
  founders?: readonly string[],
  transfer?: boolean,
): void {
  const { state } = draft;
  // Terms go on growing when a fleet starts anew because its folders are lost.
  state.term = Math.max(state.term + 1, founders ? state.minBootstrapTerm : 0);
  state.vote = state.id;
  state.votes = [];
  state.initialVoters = founders;
  state.emptyReplicas = {};
  drafts.setRole(draft, "candidate");
  drafts.resetRetryTimer(draft);
  const { term, id } = state;
  drafts.persist(draft, { type: "vote", term, vote: id });
  drafts.sendWhenDurable(draft, id, { type: "vote", term, granted: true });
  requestVotes(draft, { term, ...(transfer && { transfer }) });
}

type Ballot = Pick<schema.VoteRequest, "term" | "pre" | "transfer">;

function requestVotes(draft: drafts.Draft, ballot: Ballot): void {
  const { state } = draft;
  const { index: lastIndex, term: lastTerm } = state.log.last;
  const request = {
    type: "vote-request" as const,
    lastIndex,
    lastTerm,
    ...ballot,
  };
  for (const id of state.initialVoters ?? drafts.otherVoters(state)) {
    if (id === state.id) continue;
    if (ballot.pre) drafts.send(draft, id, request);
    else drafts.sendWhenDurable(draft, id, request);
  }
}

function answerPreVote(
  draft: drafts.Draft,
  from: string,
  body: schema.VoteRequest,
): void {
  const { state } = draft;
  const granted = body.term > state.term && isUpToDate(state, body);
  // Of two that stand at once neither may win where all votes are needed.
  const yields = granted && state.role === "pre-candidate" && from < state.id;
  if (yields) {
    drafts.becomeFollower(draft, state.term);
    drafts.resetRetryTimer(draft);
  }
  const term = granted ? body.term : state.term;
  drafts.send(draft, from, { type: "vote", term, granted, pre: true });
}

/** A replica that hears a leader, or is one that is heard, heeds no other. */
function hearsLeader(draft: drafts.Draft): boolean {
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

/** The first election needs every founder, any other a majority. */
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

/** Only the first host by name founds, once it has found all others empty. */
function mayFound(state: state.State): boolean {
  const host = replicaId.host(state.id);
  const first = [...state.desiredVoters].sort()[0];
  const others = state.desiredVoters.filter((other) => other !== host);
  return state.isBootstrap && isEmpty(state) && host === first &&
    others.every((other) => state.emptyReplicas[other] !== undefined);
}

function foundersOf(state: state.State): string[] {
  const own = replicaId.host(state.id);
  return state.desiredVoters.map((host) =>
    host === own ? state.id : state.emptyReplicas[host]
  );
}

/** Hosts that a replica which is no member asks to be taken in. Only a leader
 * takes in, and any voter may lead: the hosts that the settings name, which is
 * what they were at some time, are not enough. */
export function probeTargets(
  { desiredVoters: hosts, knownHosts: contacts }: state.State,
): string[] {
  return [...new Set([...hosts, ...contacts])];
}

/** Asks all hosts that may know better, but for the own one. */
function probe(draft: drafts.Draft): void {
  const { state } = draft;
  const own = replicaId.host(state.id);
  state.emptyReplicas = {};
  for (const host of probeTargets(state)) {
    if (host !== own) drafts.sendHost(draft, host, { type: "probe" });
  }
}
