/** Types generated from schema/peers.yaml.
 * @module */

/**
 * @maxItems 4096
 *
 * This interface was referenced by `Frame`'s JSON-Schema
 * via the `definition` "Batch".
 */
export type Batch = Parcel[];

/**
 * Messages from one host to another, in order. Who sent them and to whom
 * follows from the connection. An acknowledgement of a frame covers all earlier
 * ones of its connection: it is a number alone, or rides on a frame that goes
 * back.
 *
 */
export interface Frame {
  id: number;
  /**
   * Number of the last frame that the sender has received from the receiver;
   * absent if it has been acknowledged.
   *
   */
  acknowledged?: number;
  batch: Batch;
}
/**
 * This interface was referenced by `Frame`'s JSON-Schema
 * via the `definition` "Parcel".
 */
export interface Parcel {
  /**
   * A channel that a host does not know, as of a later release, costs
   * its own message only.
   *
   */
  channel: string;
  /**
   * Message of the channel, checked against its own schema.
   */
  body: {};
}
