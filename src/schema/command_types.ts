/** Types generated from schema/command.yaml.
 * @module */

/**
 * A command that the replicated log commits and the machine applies.
 */
export type Command = EditCommand | ClaimCommand | SettleCommand | RetireCommand;
/**
 * Chosen by the proposing host; a resend repeats it.
 */
export type Id = string;
/**
 * Leader's time in milliseconds, set as it proposes; the machine never goes
 * back. Absent in a command on its way to the leader.
 *
 */
export type Time = number;

export interface EditCommand {
  type: "edit";
  id: Id;
  at?: Time;
  /**
   * Edit of schema/table.yaml, checked against it.
   */
  edit: {};
}
/**
 * Asks for the right to run a request once. Its id is the token.
 */
export interface ClaimCommand {
  type: "claim";
  id: Id;
  at?: Time;
  /**
   * Account and hash of the Idempotency-Key.
   */
  key: string;
  /**
   * Hash of the request.
   */
  fingerprint: string;
  host: string;
  incarnation: number;
  /**
   * Milliseconds within which the request is settled.
   */
  lease: number;
}
/**
 * How a claimed request ended; not-run frees the key.
 */
export interface SettleCommand {
  type: "settle";
  id: Id;
  at?: Time;
  key: string;
  /**
   * Id of the claim command.
   */
  token: string;
  outcome: "ran" | "not-run" | "unknown";
  answer?: StoredAnswer;
}
/**
 * Answer that a resend gets again.
 */
export interface StoredAnswer {
  status: number;
  contentType?: string;
  body: string;
}
/**
 * Hosts whose earlier incarnations no longer run anything.
 */
export interface RetireCommand {
  type: "retire";
  id: Id;
  at?: Time;
  host: string;
  /**
   * Lowest incarnation that may still run something.
   */
  incarnation: number;
}
