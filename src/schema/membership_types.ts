/** Types generated from schema/membership.yaml.
 * @module */

/**
 * What hosts tell each other of who is alive.
 */
export type MembershipMessage = Ping | Ack | Relay | Vouch | MemberNews | MemberCompare | MemberEntries;
export type MemberStatus = "alive" | "suspect" | "dead" | "left";
/**
 * @maxItems 512
 */
export type MemberList = Member[];

/**
 * Asks for an ack.
 */
export interface Ping {
  type: "ping";
  probe: number;
  root: string;
  news?: MemberList;
}
/**
 * What is known of one host.
 */
export interface Member {
  id: string;
  dataCentre: string;
  region?: string;
  address: string;
  port: number;
  /**
   * Grows with each start of the host.
   */
  incarnation: number;
  /**
   * Grows with each statement of the host in one incarnation.
   */
  sequence: number;
  status: MemberStatus;
  /**
   * Why the host takes no new work; absent when it does.
   */
  drain?: string;
}
/**
 * Answers a ping.
 */
export interface Ack {
  type: "ack";
  probe: number;
  root: string;
  news?: MemberList;
}
/**
 * Asks another host to ping the subject.
 */
export interface Relay {
  type: "relay";
  probe: number;
  subject: string;
}
/**
 * Tells the host that asked for a relay that the subject answered.
 */
export interface Vouch {
  type: "vouch";
  probe: number;
}
/**
 * Changes on their way to all hosts.
 */
export interface MemberNews {
  type: "news";
  news: MemberList;
  /**
   * Id, status, incarnation, sequence and hash of the rest, of members that the receiver should know.
   *
   * @maxItems 512
   */
  brief?: string[];
}
/**
 * Hashes of all groups, or of the buckets of one group.
 */
export interface MemberCompare {
  type: "compare";
  group?: number;
  /**
   * @maxItems 32
   */
  hashes: string[];
}
/**
 * All that the sender knows in some buckets.
 */
export interface MemberEntries {
  type: "entries";
  /**
   * @maxItems 256
   */
  buckets: number[];
  news: MemberList;
  /**
   * Whether the sender wants back what is newer.
   */
  reply: boolean;
}
