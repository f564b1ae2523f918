/** Finds hosts that stay silent: a ping, then pings through other hosts, then
 * suspicion, then death.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as rings from "./rings.ts";
import * as states from "./state.ts";

/** Sends a ping that `relay`, if given, waits for. */
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

/** Answers a ping; corrects a sender that this host knows otherwise. */
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

/** Takes an ack of this host's probe, or of one that it relays. */
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

/** Pings `subject` for another host. */
export function relayPing(
  step: states.Step,
  from: string,
  body: schema.Relay,
): void {
  const relay = { origin: from, probe: body.probe, sentAt: step.now };
  ping(step, body.subject, { relay });
}

/** Does what is due: starts, relays or gives up a probe; buries suspects. */
export function advance(step: states.Step): void {
  forgive(step);
  follow(step);
  bury(step);
  start(step);
}

/** When probing next has something to do. */
export function due(state: states.State): number {
  const { probe, nextProbe, suspicionEnds: suspects } = state;
  const wait = probe?.relayed ? states.PROBE_TIMEOUT_MS : states.ACK_TIMEOUT_MS;
  const follow = probe === undefined ? Infinity : probe.sentAt + wait;
  return Math.min(nextProbe, follow, ...suspects.values());
}

/** After a pause of this process, silence and suspicion prove nothing. */
function forgive(step: states.Step): void {
  const { state, now } = step;
  const late = now - state.wakeAt;
  if (late < states.PAUSE_THRESHOLD_MS) return;
  const suspects = new Map(state.suspicionEnds);
  for (const id of suspects.keys()) {
    suspects.set(id, now + states.SUSPICION_TIMEOUT_MS);
  }
  step.state = { ...state, suspicionEnds: suspects, probe: undefined };
}

function follow(step: states.Step): void {
  const { probe } = step.state;
  if (probe === undefined) return;
  const silence = step.now - probe.sentAt;
  if (silence >= states.PROBE_TIMEOUT_MS) return suspect(step, probe.subject);
  if (silence >= states.ACK_TIMEOUT_MS && !probe.relayed) {
    askOthers(step, probe);
  }
}

function askOthers(step: states.Step, probe: states.Probe): void {
  const { state } = step;
  const own = state.options.self.id;
  const helpers = rings.observers(probe.subject, state.live)
    .filter((id) => id !== own)
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

function bury(step: states.Step): void {
  for (const [id, at] of step.state.suspicionEnds) {
    if (step.now >= at) merges.declareDead(step, id);
  }
}

function start(step: states.Step): void {
  const { state, now } = step;
  if (now < state.nextProbe) return;
  const { subjects } = state;
  const relays = new Map(
    [...state.relays].filter(([, { sentAt: at }]) =>
      now - at < states.PROBE_TIMEOUT_MS
    ),
  );
  step.state = { ...state, relays, nextProbe: now + states.PROBE_INTERVAL_MS };
  if (subjects.length === 0 || state.probe !== undefined) return;
  const subject = subjects[state.lastPing % subjects.length];
  const number = ping(step, subject);
  const probe = { number, subject, sentAt: now, relayed: false };
  step.state = { ...step.state, probe };
}
