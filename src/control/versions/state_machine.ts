/** State machine of the log: what operators have ordered. Of the configuration
 * the highest version wins; evacuations stand beside it.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";
import type * as log from "../log/mod.ts";
import * as editions from "./configuration_version.ts";
import * as evacuations from "./evacuations.ts";

/** What is in force. */
export interface ControlState {
  readonly configuration: editions.ConfigurationVersion;
  readonly evacuations: evacuations.Evacuations;
}

/** Answer of the machine: what became of an order. */
export type CommandReply =
  | schema.ReplacedReply
  | schema.EvacuatedReply
  | schema.FailedReply;

type Outcome = log.Outcome<ControlState, CommandReply>;

/** The command that orders a version. */
export function replaceCommand(
  id: string,
  edition: editions.ConfigurationVersion,
): log.Command {
  return { id, type: "replace", ...edition };
}

/** The command that begins or ends an evacuation. */
export function evacuateCommand(
  id: string,
  order: evacuations.EvacuationCommand,
): log.Command {
  return { id, type: "evacuate", ...order };
}

type Handler = (state: ControlState, command: log.Command) => Outcome;

const HANDLERS: Readonly<Record<string, Handler | undefined>> = {
  replace,
  evacuate,
};

/** The machine of the log. Its snapshots are those of a machine that knew
 * editions alone, with evacuations added where there are any: such a machine's
 * are read. */
export const stateMachine: log.StateMachine<ControlState, CommandReply> = {
  empty: {
    configuration: editions.NO_VERSION,
    evacuations: evacuations.Evacuations.NONE,
  },
  apply(state, command) {
    const handler = HANDLERS[command.type];
    if (handler !== undefined) return handler(state, command);
    // Of a later release, which this one may run beside for a while.
    return { state, reply: { type: "failed", reason: "unknown" } };
  },
  toJSON({ configuration: edition, evacuations: { list } }) {
    return { ...edition, ...(list.length > 0 && { evacuations: list }) };
  },
  fromJSON(json) {
    const { evacuations: list, ...edition } = json as Snapshot;
    return {
      configuration: edition,
      evacuations: evacuations.Evacuations.of(list),
    };
  },
};

type Snapshot = editions.ConfigurationVersion & {
  readonly evacuations?: schema.Evacuation[];
};

function replace(state: ControlState, command: log.Command): Outcome {
  const edition = editionIn(command);
  const verdict = editions.replaceVerdict(state.configuration, edition);
  const next = verdict === "accepted"
    ? { ...state, configuration: edition }
    : state;
  const { version } = next.configuration;
  return { state: next, reply: { type: "replaced", verdict, version } };
}

function evacuate(state: ControlState, command: log.Command): Outcome {
  const order = orderIn(command);
  const { verdict, next } = state.evacuations.apply(order);
  const revision = next.revisionOf(order.dataCentre);
  return {
    state: next === state.evacuations ? state : { ...state, evacuations: next },
    reply: { type: "evacuated", verdict, revision },
  };
}

function editionIn(command: log.Command): editions.ConfigurationVersion {
  const version = command.version as number;
  const document = command.document as string;
  const digest = command.digest as string;
  return { version, document, digest };
}

function orderIn(command: log.Command): evacuations.EvacuationCommand {
  return {
    dataCentre: command.dataCentre as string,
    active: command.active as boolean,
    after: command.after as number,
    orderedAt: command.orderedAt as number,
  };
}
