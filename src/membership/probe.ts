/** Failure detection: a ping, then indirect pings through other hosts, then a
 * suspicion, then a declaration of death.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as rings from "./rings.ts";
import * as states from "./state.ts";

/** Sends a ping, optionally on behalf of another host; returns its number. */
export function ping(
  step: states.Step,
  to: string,
  { relay, news }: { relay?: states.Relay; news?: member.Member[] } = {},
): number {
  const number = step.state.lastPing + 1;
  const relays = relay === undefined
    ? step.state.relays
    : new Map(step.state.relays).set(number, relay);
  step.state = { ...step.state, lastPing: number, relays };
  const root = step.state.members.rootHash();
  const body: schema.Ping = { type: "ping", probe: number, root };
  if (news !== undefined) body.news = news;
  step.effects.push({ type: "send", to, body });
  return number;
}

/** Answers a ping. The ack includes the sender's own member if it is not known
 * as alive here, so that the sender can refute, or this host's member if the
 * sender is unknown. */
export function answerPing(
  step: states.Step,
  from: string,
  body: schema.Ping,
): void {
  const { members, options } = step.state;
  const known = members.get(from);
  const root = members.rootHash();
  const ack: schema.Ack = { type: "ack", probe: body.probe, root };
  if (known !== undefined && known.status !== "alive") ack.news = [known];
  if (known === undefined) ack.news = [members.get(options.self.id)!];
  step.effects.push({ type: "send", to: from, body: ack });
}

/** Processes an ack of this host's probe or of a ping that it relays. */
export function receiveAck(step: states.Step, number: number): void {
  const { probe, relays } = step.state;
  if (probe?.number === number) {
    step.state = { ...step.state, probe: undefined };
  }
  const relay = relays.get(number);
  if (relay === undefined) return;
  const rest = new Map(relays);
  rest.delete(number);
  step.state = { ...step.state, relays: rest };
  const body: schema.Vouch = { type: "vouch", probe: relay.probe };
  step.effects.push({ type: "send", to: relay.origin, body });
}

/** Pings a subject on behalf of another host. */
export function relayPing(
  step: states.Step,
  from: string,
  body: schema.Relay,
): void {
  const relay = { origin: from, probe: body.probe, sentAt: step.now };
  ping(step, body.subject, { relay });
}

/** Does what is due: starts, relays or gives up a probe; declares suspects
 * dead. */
export function advance(step: states.Step): void {
  handlePause(step);
  checkProbe(step);
  declareDead(step);
  startProbe(step);
}

/** Returns when probing next has something to do. */
export function due(state: states.State): number {
  const { probe, nextProbe, suspicionEnds } = state;
  const wait = probe?.relayed ? states.PROBE_TIMEOUT_MS : states.ACK_TIMEOUT_MS;
  const probeTimeout = probe === undefined ? Infinity : probe.sentAt + wait;
  return Math.min(nextProbe, probeTimeout, ...suspicionEnds.values());
}

/** After a pause of this process, cancels the probe and restarts suspicion
 * timeouts: acks and refutations may be waiting to be read. */
function handlePause(step: states.Step): void {
  const { state, now } = step;
  const lateness = now - state.wakeAt;
  if (lateness < states.PAUSE_THRESHOLD_MS) return;
  const suspicionEnds = new Map(state.suspicionEnds);
  for (const id of suspicionEnds.keys()) {
    suspicionEnds.set(id, now + states.SUSPICION_TIMEOUT_MS);
  }
  step.state = { ...state, suspicionEnds, probe: undefined };
}

function checkProbe(step: states.Step): void {
  const { probe } = step.state;
  if (probe === undefined) return;
  const silence = step.now - probe.sentAt;
  if (silence >= states.PROBE_TIMEOUT_MS) return suspect(step, probe.subject);
  if (silence >= states.ACK_TIMEOUT_MS && !probe.relayed) {
    sendIndirectPings(step, probe);
  }
}

function sendIndirectPings(step: states.Step, probe: states.Probe): void {
  const { state } = step;
  const self = state.options.self.id;
  const helpers = rings.observers(probe.subject, state.live)
    .filter((id) => id !== self)
    .slice(0, states.INDIRECT_PROBE_COUNT);
  const { number, subject } = probe;
  for (const to of helpers) {
    const body: schema.Relay = { type: "relay", probe: number, subject };
    step.effects.push({ type: "send", to, body });
  }
  step.state = { ...state, probe: { ...probe, relayed: true } };
}

function suspect(step: states.Step, id: string): void {
  step.state = { ...step.state, probe: undefined };
  const known = step.state.members.get(id);
  if (known?.status !== "alive") return;
  merges.merge(step, { ...known, status: "suspect" }, "");
}

function declareDead(step: states.Step): void {
  for (const [id, at] of step.state.suspicionEnds) {
    if (step.now >= at) merges.declareDead(step, id);
  }
}

function startProbe(step: states.Step): void {
  const { state, now } = step;
  if (now < state.nextProbe) return;
  const { subjects } = state;
  const relays = new Map(
    [...state.relays].filter(([, { sentAt }]) =>
      now - sentAt < states.PROBE_TIMEOUT_MS
    ),
  );
  step.state = { ...state, relays, nextProbe: now + states.PROBE_INTERVAL_MS };
  if (subjects.length === 0 || state.probe !== undefined) return;
  const subject = subjects[state.lastPing % subjects.length];
  const number = ping(step, subject);
  const probe = { number, subject, sentAt: now, relayed: false };
  step.state = { ...step.state, probe };
}
