/** Secrets of a host, read once at its start.
 * @module */

import type * as operators from "../operators/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as settings from "../settings/mod.ts";

/** Plain secrets; they stay out of logs and dumps. */
export interface Secrets {
  fleetKey?: string;
  endpointToken?: string;
  operators: readonly operators.Credential[];
}

/** Reads all secrets, or throws a `SettingsError`. */
export function read(
  { fleet, endpointToken, operators = [] }: schema.Settings,
  environment: settings.Environment,
): Secrets {
  const readOne = (secret: schema.Secret | undefined) =>
    secret && settings.readSecret(secret, environment);
  return {
    fleetKey: readOne(fleet.key),
    endpointToken: readOne(endpointToken),
    operators: operators.map(({ name, role = "editor", token }) => ({
      name,
      role,
      token: settings.readSecret(token, environment),
    })),
  };
}
