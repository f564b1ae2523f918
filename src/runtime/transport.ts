/** Interface of the message transport between hosts.
 * @module */

/** Protocols between hosts; each exchanges its messages on a channel of its
 * own. */
export type Channel =
  | "log"
  | "watch"
  | "membership"
  | "registry"
  | "shares"
  | "control"
  | "fleet";

/** A message in transit, which may be lost, delayed, duplicated or reordered. */
export interface Envelope {
  from: string;
  to: string;
  channel: Channel;
  body: unknown;
  /** Incarnation of the process that sent the message; undefined if it has not
   * stated one. */
  fromIncarnation?: string;
  /** The only incarnation of the receiver that the message is for; undefined if
   * it is for any. */
  toIncarnation?: string;
}

/** Sends messages asynchronously, without guaranteeing delivery. */
export interface Transport {
  /** Sends a message. */
  send(envelope: Envelope): void;
}
