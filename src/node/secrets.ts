/** Secrets of a host, read once at startup.
 * @module */

import type * as operators from "../operators/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as settings from "../settings/mod.ts";

/** Secrets in plain text; they must not appear in logs or dumps. */
export interface Secrets {
  fleetKey?: string;
  endpointToken?: string;
  operators: readonly operators.Credential[];
}

/** Reads all secrets; throws a `SettingsError` when one is missing. */
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
