/** Types generated from schema/peers.yaml.
 * @module */

/**
 * Messages from one host to another, in order. Who sent them and to whom
 * follows from the connection.
 *
 *
 * @maxItems 4096
 */
export type Batch = Parcel[];

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
