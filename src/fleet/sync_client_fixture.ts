/** A sync client with fake control hosts, for tests.
 * @module */

import * as fixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as syncClient from "./sync_client.ts";

/** Replies of control hosts by name. A host without one does not respond. */
export type Replies = Record<string, Partial<schema.SyncedReply> | undefined>;

/** Step of the fake clock. */
export const STEP_MS = 50;

const DEFAULT_REPLY: schema.SyncedReply = {
  type: "synced",
  confirmed: true,
  version: 3,
  document: "three",
  epoch: "e",
  revision: 1,
  sightings: [],
  mark: "0",
  hosts: [],
  cores: ["a", "b"],
};

/** Creates a sighting as it arrives in a reply. */
export function sighting(
  change: Partial<schema.Sighting> = {},
): schema.Sighting {
  return { ...fixture.endpointStatus(), age: 0, ...change };
}

/** Options of `createSyncClient`. */
export interface FixtureOptions {
  readonly seeds?: readonly string[];
  readonly logger?: telemetry.Logger;
  readonly capacity?: number;
  isKnownService?(service: string): boolean;
  /** What each question takes. */
  readonly takeSlowness?: () => schema.SlownessReport[];
}

/** Creates a started sync client with the seeds `a` and `b`, or others. Changes
 * of `replies` take effect on later polls. */
export function createSyncClient(
  replies: Replies,
  {
    seeds = ["a", "b"],
    logger = telemetry.noLogger,
    capacity,
    isKnownService = () => true,
    takeSlowness = () => [],
  }: FixtureOptions = {},
) {
  const clock = new runtime.FakeClock();
  const requests: { core: string; question: schema.SyncQuestion }[] = [];
  const versions: string[] = [];
  const estimates: schema.SlownessReport[] = [];
  const contended: (readonly string[])[] = [];
  const client = syncClient.SyncClient.create({
    self: "me",
    dataCentre: "town",
    seeds,
    clock,
    random: { next: () => 0, below: () => 0 },
    logger,
    isReady: () => true,
    capacity,
    isKnownService: (service) => isKnownService(service),
    onVersion: (_, document) => void versions.push(document),
    onChange() {},
    onNewSource() {},
    onSuspects() {},
    onLimits() {},
    takeSlowness,
    onSlowness: (received) => void estimates.push(...received),
    onContended: (services) => void contended.push(services),
    calls: {
      ask(core, question) {
        requests.push({ core, question: question as schema.SyncQuestion });
        const reply = replies[core];
        return reply === undefined
          ? Promise.reject(new Error("silent"))
          : Promise.resolve({ ...DEFAULT_REPLY, ...reply });
      },
    },
  });
  const run = async (ms: number) => {
    for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      clock.advance(STEP_MS);
      await new Promise(setImmediate);
    }
  };
  client.start();
  return { client, clock, requests, versions, estimates, contended, run };
}
