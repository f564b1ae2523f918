/** Transport of a host: connections to its peers, or a loopback when the fleet
 * has a single host.
 * @module */

import type * as control from "../control/mod.ts";
import * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as controlMessages from "../schema/control_validators.ts";
import * as logMessages from "../schema/log_validators.ts";
import * as membershipMessages from "../schema/membership_validators.ts";
import * as registryMessages from "../schema/registry_validators.ts";
import * as sharesMessages from "../schema/shares_validators.ts";
import type * as settings from "../schema/settings_types.ts";
import * as watchMessages from "../schema/watch_validators.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as loopback from "./loopback.ts";

/** A transport that can be started and stopped. */
export interface Transport extends control.Transport {
  start(): Promise<void>;
  stop(): Promise<void>;
  dump(): unknown;
}

/** Options and dependencies of a transport. */
export interface Options {
  settings: settings.Settings;
  /** Fleet key; without one, peers are not authenticated. */
  key?: string;
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  onEnvelope(envelope: runtime.Envelope): void;
}

/** Creates a transport that neither listens nor dials before `start`. */
export function create(options: Options): Transport {
  const { settings: { host: self, fleet: { hosts } }, onEnvelope } = options;
  if (hosts.length === 1) return loopback.Loopback.create(self, onEnvelope);
  return peers.Peers.create({
    ...options,
    self,
    incarnation: peers.drawIncarnation(),
    hosts,
    validators: {
      control: controlMessages.validate,
      log: logMessages.validate,
      membership: membershipMessages.validate,
      registry: registryMessages.validate,
      shares: sharesMessages.validate,
      watch: watchMessages.validate,
    },
  });
}
