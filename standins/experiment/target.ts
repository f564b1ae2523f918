/** What an experiment runs against: hosts, and the stand-ins behind them.
 * @module */

import * as undici from "undici";
import type * as schema from "../../src/schema/experiment_types.ts";
import type * as faults from "../faults.ts";
import type * as fleet from "../fleet.ts";
import type * as ledger from "../ledger.ts";

/** An experiment could not be run. */
export class ExperimentError extends Error {
  override readonly name = "ExperimentError";
}

/** A running system and its stand-ins. */
export interface Target {
  /** Base URLs of the hosts' callers' ports. */
  hosts: readonly string[];
  /** What the stand-ins ran so far. */
  ledger(): Promise<ledger.Totals>;
  /** Carries out a scheduled fault. */
  act(fault: schema.ScheduledFault): Promise<void>;
  stop(): Promise<void>;
}

/** What an action needs of stand-ins, near or far. */
export interface Steering {
  fault(fault: faults.Fault, selection: fleet.Selection): unknown;
  clear(selection: fleet.Selection): unknown;
  leave(selection: fleet.Selection): unknown;
  kill(selection: fleet.Selection): unknown;
}

const LOOPBACK = /^(127(\.\d+){3}|localhost|\[::1\])$/;

/** A system that runs already. */
export function remote({ hosts, standIns }: schema.Target): Target {
  for (const url of [...hosts, standIns]) requireLoopback(url);
  const post = async (path: string, body: unknown): Promise<void> => {
    await call(`${standIns}${path}`, { method: "POST", body });
  };
  const steering: Steering = {
    fault: (fault, selection) => post("/faults", { fault, selection }),
    clear: () => call(`${standIns}/faults`, { method: "DELETE" }),
    leave: (selection) => post("/leave", selection),
    kill: (selection) => post("/kill", selection),
  };
  return {
    hosts,
    ledger: () => call(`${standIns}/ledger`) as Promise<ledger.Totals>,
    act: (fault) => act(steering, fault),
    stop: () => Promise.resolve(),
  };
}

/** Refuses to load anything but this machine. */
export function requireLoopback(url: string): void {
  if (LOOPBACK.test(new URL(url).hostname)) return;
  throw new ExperimentError(
    `${url} is not on the loopback interface, and load goes nowhere else`,
  );
}

/** Carries out a scheduled fault on stand-ins. */
export async function act(
  steering: Steering,
  scheduled: schema.ScheduledFault,
): Promise<void> {
  const { at: _, type, service, endpoint, dataCentre, first, ...rest } =
    scheduled;
  const selection = given({ service, endpoint, dataCentre, first });
  if (type === "leave") await steering.leave(selection);
  else if (type === "kill") await steering.kill(selection);
  else if (type === "clear") await steering.clear(selection);
  else await steering.fault({ type, ...rest }, selection);
}

function given(
  selection: {
    [K in keyof fleet.Selection]: fleet.Selection[K] | undefined;
  },
): fleet.Selection {
  const entries = Object.entries(selection)
    .filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries);
}

interface CallOptions {
  method?: "GET" | "POST" | "DELETE";
  body?: unknown;
}

async function call(
  url: string,
  { method = "GET", body }: CallOptions = {},
): Promise<unknown> {
  try {
    const answer = await undici.request(url, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const value = await answer.body.json();
    if (answer.statusCode === 200) return value;
    throw new Error(`status ${answer.statusCode}`);
  } catch (cause) {
    throw new ExperimentError(`The stand-ins do not answer at ${url}`, {
      cause,
    });
  }
}
