/** State machine of the log: applies the commands of operators to configuration
 * and evacuations, which are independent. The highest configuration version
 * wins.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";
import type * as log from "../log/mod.ts";
import * as configurationVersions from "./configuration_version.ts";
import * as evacuations from "./evacuations.ts";

/** Replicated state. */
export interface ControlState {
  readonly configuration: configurationVersions.ConfigurationVersion;
  readonly evacuations: evacuations.Evacuations;
}

/** Outcome of a command. */
export type CommandReply =
  | schema.ReplacedReply
  | schema.EvacuatedReply
  | schema.FailedReply;

type Outcome = log.Outcome<ControlState, CommandReply>;

/** Creates a command that replaces the configuration. */
export function replaceCommand(
  id: string,
  configuration: configurationVersions.ConfigurationVersion,
): log.Command {
  return { id, type: "replace", ...configuration };
}

/** Creates a command that begins or ends an evacuation. */
export function evacuateCommand(
  id: string,
  command: evacuations.EvacuationCommand,
): log.Command {
  return { id, type: "evacuate", ...command };
}

type Handler = (state: ControlState, command: log.Command) => Outcome;

const HANDLERS: Readonly<Record<string, Handler | undefined>> = {
  replace,
  evacuate,
};

/** The state machine. Its snapshots consist of the configuration, with a list
 * of evacuations only if there are any, so that it also reads snapshots of the
 * earlier format, which had the configuration alone. */
export const stateMachine: log.StateMachine<ControlState, CommandReply> = {
  empty: {
    configuration: configurationVersions.NO_VERSION,
    evacuations: evacuations.Evacuations.NONE,
  },
  apply(state, command) {
    const handler = HANDLERS[command.type];
    if (handler !== undefined) return handler(state, command);
    // A command of a later release, during a rolling upgrade.
    return { state, reply: { type: "failed", reason: "unknown" } };
  },
  toJSON({ configuration, evacuations: { list } }) {
    return { ...configuration, ...(list.length > 0 && { evacuations: list }) };
  },
  fromJSON(json) {
    const { evacuations: list, ...configuration } = json as Snapshot;
    return {
      configuration,
      evacuations: evacuations.Evacuations.of(list),
    };
  },
};

type Snapshot = configurationVersions.ConfigurationVersion & {
  readonly evacuations?: schema.Evacuation[];
};

function replace(state: ControlState, command: log.Command): Outcome {
  const configuration = configurationOf(command);
  const verdict = configurationVersions.replaceVerdict(
    state.configuration,
    configuration,
  );
  const next = verdict === "accepted" ? { ...state, configuration } : state;
  const { version } = next.configuration;
  return { state: next, reply: { type: "replaced", verdict, version } };
}

function evacuate(state: ControlState, command: log.Command): Outcome {
  const evacuationCommand = evacuationOf(command);
  const { verdict, next } = state.evacuations.apply(evacuationCommand);
  const revision = next.revisionOf(evacuationCommand.dataCentre);
  return {
    state: next === state.evacuations ? state : { ...state, evacuations: next },
    reply: { type: "evacuated", verdict, revision },
  };
}

function configurationOf(
  command: log.Command,
): configurationVersions.ConfigurationVersion {
  const version = command.version as number;
  const document = command.document as string;
  const digest = command.digest as string;
  return { version, document, digest };
}

function evacuationOf(command: log.Command): evacuations.EvacuationCommand {
  return {
    dataCentre: command.dataCentre as string,
    active: command.active as boolean,
    after: command.after as number,
    orderedAt: command.orderedAt as number,
  };
}
