/** Handlers of operator commands on a control host.
 * @module */

import * as configurations from "../configuration/mod.ts";
import * as versions from "../control/versions/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as controlServer from "./control_server.ts";
import * as protocol from "./control_protocol.ts";

/** Shorter than the one-second timeout of operators' requests, so that they
 * receive the reason of a failure. */
const COMMAND_TIMEOUT_MS = 900;
/** Timeout for a quorum to confirm a read. */
const READ_TIMEOUT_MS = 800;

/** Dependencies of the handlers. */
export interface OperatorCommandsOptions {
  readonly store: Pick<
    versions.ConfigurationStore,
    "replace" | "read" | "evacuate" | "status"
  >;
  readonly logger: telemetry.Logger;
  /** Names of all data centres. */
  readonly dataCentres: readonly string[];
}

type CommandOf<T> = Extract<protocol.ControlCommand, { type: T }>;

/** Creates the handlers. */
export function handlers(
  options: OperatorCommandsOptions,
): Pick<controlServer.CommandHandlers, "replace" | "read" | "evacuate"> {
  return {
    replace: (command) => replace(command, options),
    read: () => read(options),
    evacuate: (command, connection) =>
      evacuate(command, { ...options, connection }),
  };
}

async function replace(
  { document, configuration }: CommandOf<"replace">,
  options: OperatorCommandsOptions,
): Promise<protocol.ControlResponse> {
  const { store, logger } = options;
  const { version } = configuration;
  const fault = configurations.findViolation(configuration);
  if (fault !== undefined) {
    logger.info({ version, ...fault }, "Configuration rejected as invalid");
    return protocol.problem(400, fault.detail);
  }
  try {
    const configurationVersion = versions.packVersion(version, document);
    const reply = await store.replace(configurationVersion, COMMAND_TIMEOUT_MS);
    logger.info(
      { asked: version, ...reply },
      "Configuration command committed",
    );
    return reply.verdict === "conflict"
      ? protocol.problem(
        409,
        `version ${version} is in force with other content`,
      )
      : { status: 200, body: JSON.stringify({ version: reply.version }) };
  } catch (error) {
    return failureResponse(error, { ...options, logFields: { version } });
  }
}

async function read(
  options: OperatorCommandsOptions,
): Promise<protocol.ControlResponse> {
  try {
    const current = await options.store.read(READ_TIMEOUT_MS);
    if (current.version === 0) {
      return protocol.problem(503, "no configuration has been accepted yet");
    }
    const body = configurations.decompress(current.document);
    return { status: 200, body };
  } catch (error) {
    return failureResponse(error, { ...options, logFields: { read: true } });
  }
}

async function evacuate(
  { dataCentre, active }: CommandOf<"evacuate">,
  options: OperatorCommandsOptions & {
    readonly connection: protocol.ControlConnection;
  },
): Promise<protocol.ControlResponse> {
  const { store, logger, dataCentres, connection } = options;
  if (!dataCentres.includes(dataCentre)) {
    return protocol.problem(404, `there is no data centre ${dataCentre}`);
  }
  try {
    const reply = await store.evacuate({ dataCentre, active }, {
      timeout: COMMAND_TIMEOUT_MS,
      isAbandoned: () => connection.isClosed(),
    });
    logger.info(
      { dataCentre, active, ...reply },
      "Evacuation command committed",
    );
    const { revision } = reply;
    return { status: 200, body: JSON.stringify({ revision }) };
  } catch (error) {
    return failureResponse(error, {
      ...options,
      logFields: { dataCentre, active },
    });
  }
}

function failureResponse(
  error: unknown,
  { store, logger, logFields }: OperatorCommandsOptions & {
    readonly logFields: object;
  },
): protocol.ControlResponse {
  if (!(error instanceof versions.StoreError)) throw error;
  const { kind, message } = error;
  logger.info(
    { ...logFields, kind, ...store.status },
    "Operator command not acknowledged",
  );
  return protocol.problem(503, message);
}
