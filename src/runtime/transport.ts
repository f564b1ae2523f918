/** Messages between the system's hosts, as the core sees them.
 * @module */

/** Parts of a host that exchange messages with their kind on other hosts. */
export type Channel =
  | "log"
  | "watch"
  | "membership"
  | "registry"
  | "shares"
  | "control"
  | "fleet";

/** One message on its way; may be lost, delayed, doubled or overtaken. */
export interface Envelope {
  from: string;
  to: string;
  channel: Channel;
  body: unknown;
}

/** Sends envelopes without waiting and without a promise of delivery. */
export interface Transport {
  send(envelope: Envelope): void;
}
