/** Types generated from schema/control.yaml.
 * @module */

/**
 * Commands on their way to the leader, and the answers to them.
 */
export type ControlMessage = Forward | Result;

export interface Forward {
  type: "forward";
  /**
   * Counts the sends of one command by one host.
   */
  attempt: number;
  /**
   * Command of schema/command.yaml, checked against it.
   */
  command: {
    id: string;
  };
}
export interface Result {
  type: "result";
  /**
   * Id of the command.
   */
  id: string;
  attempt: number;
  /**
   * not-leader and no-quorum say that this attempt is not applied;
   * invalid that the command never will be.
   *
   */
  status: "applied" | "not-leader" | "no-quorum" | "unknown" | "invalid";
  /**
   * Answer of the machine.
   */
  reply?: {};
  /**
   * Host to ask instead, if known.
   */
  leader?: string;
  detail?: string;
}
