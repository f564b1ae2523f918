/** What operators order at a host with a disk, and how they are answered.
 * @module */

import * as configurations from "../configuration/mod.ts";
import * as versions from "../control/versions/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as controlServer from "./control_server.ts";
import * as protocol from "./control_protocol.ts";

/** Milliseconds in which an order is acknowledged: before an operator's call
 * ends after a second, so that it hears why not. */
const ORDER_PATIENCE = 900;
/** Milliseconds in which a majority confirms a read. */
const READ_PATIENCE = 800;

/** What orders need of their host. */
export interface OperatorCommandsOptions {
  readonly store: Pick<
    versions.ConfigurationStore,
    "replace" | "read" | "evacuate" | "status"
  >;
  readonly logger: telemetry.Logger;
  /** Data centres that there are. */
  readonly dataCentres: readonly string[];
}

type Order<T> = Extract<protocol.ControlCommand, { type: T }>;

/** Handlers of operators' calls. */
export function handlers(
  options: OperatorCommandsOptions,
): Pick<controlServer.CommandHandlers, "replace" | "read" | "evacuate"> {
  return {
    replace: (order) => replace(order, options),
    read: () => read(options),
    evacuate: (order, caller) => evacuate(order, { ...options, caller }),
  };
}

async function replace(
  { document, configuration }: Order<"replace">,
  options: OperatorCommandsOptions,
): Promise<protocol.ControlResponse> {
  const { store, logger } = options;
  const { version } = configuration;
  const fault = configurations.findViolation(configuration);
  if (fault !== undefined) {
    logger.info({ version, ...fault }, "Configuration refused as invalid");
    return protocol.problem(400, fault.detail);
  }
  try {
    const order = versions.packVersion(version, document);
    const reply = await store.replace(order, ORDER_PATIENCE);
    logger.info({ asked: version, ...reply }, "Configuration ordered");
    return reply.verdict === "conflict"
      ? protocol.problem(
        409,
        `version ${version} is in force with other content`,
      )
      : { status: 200, body: JSON.stringify({ version: reply.version }) };
  } catch (error) {
    return unanswered(error, { ...options, about: { version } });
  }
}

async function read(
  options: OperatorCommandsOptions,
): Promise<protocol.ControlResponse> {
  try {
    const edition = await options.store.read(READ_PATIENCE);
    if (edition.version === 0) {
      return protocol.problem(503, "no configuration has been accepted yet");
    }
    const body = configurations.decompress(edition.document);
    return { status: 200, body };
  } catch (error) {
    return unanswered(error, { ...options, about: { read: true } });
  }
}

async function evacuate(
  { dataCentre, active }: Order<"evacuate">,
  options: OperatorCommandsOptions & {
    readonly caller: protocol.ControlConnection;
  },
): Promise<protocol.ControlResponse> {
  const { store, logger, dataCentres, caller } = options;
  if (!dataCentres.includes(dataCentre)) {
    return protocol.problem(404, `there is no data centre ${dataCentre}`);
  }
  try {
    const reply = await store.evacuate({ dataCentre, active }, {
      timeout: ORDER_PATIENCE,
      isAbandoned: () => caller.isClosed(),
    });
    logger.info({ dataCentre, active, ...reply }, "Evacuation ordered");
    const { revision } = reply;
    return { status: 200, body: JSON.stringify({ revision }) };
  } catch (error) {
    return unanswered(error, { ...options, about: { dataCentre, active } });
  }
}

function unanswered(
  error: unknown,
  { store, logger, about }: OperatorCommandsOptions & {
    readonly about: object;
  },
): protocol.ControlResponse {
  if (!(error instanceof versions.StoreError)) throw error;
  const { kind, message } = error;
  logger.info({ ...about, kind, ...store.status }, "Operator not answered");
  return protocol.problem(503, message);
}
