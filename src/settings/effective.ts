/** Derives the effective settings of one host from those of the fleet.
 * @module */

import * as path from "node:path";
import type * as settings from "../schema/settings_types.ts";

/** The settings file, and the host that the settings are for. */
export interface Origin {
  /** Relative paths are resolved against the folder of this file. */
  file: string;
  /** Id of the host; overrides the one in the file. */
  host?: string;
}

/** Sets the host's id and own listeners, and makes paths absolute. */
export function resolve(
  from: settings.Settings,
  { file, host = from.host }: Origin,
): settings.Settings {
  const base = path.dirname(path.resolve(file));
  const self = from.fleet.hosts.find(({ id }) => id === host);
  const { callers, operators } = self?.listen ?? from.listen;
  return {
    ...from,
    host,
    folder: folderOf(from.folder, { base, host }),
    fleet: { ...from.fleet, key: resolveSecret(from.fleet.key, base) },
    listen: {
      callers: resolveListener(callers, base),
      operators: resolveListener(operators, base),
    },
    operators: from.operators?.map((operator) => ({
      ...operator,
      token: resolveSecret(operator.token, base)!,
    })),
    endpointToken: resolveSecret(from.endpointToken, base),
  };
}

function folderOf(
  folder: string | undefined,
  { base, host }: { base: string; host: string },
): string | undefined {
  if (folder === undefined) return undefined;
  return path.resolve(base, folder.replaceAll("{host}", host));
}

function resolveSecret(
  secret: settings.Secret | undefined,
  base: string,
): settings.Secret | undefined {
  if (secret?.file === undefined) return secret;
  return { file: path.resolve(base, secret.file) };
}

function resolveListener(
  listener: settings.Listener,
  base: string,
): settings.Listener {
  if (listener.tls === undefined) return listener;
  const { certificate, key } = listener.tls;
  const tls = {
    certificate: path.resolve(base, certificate),
    key: path.resolve(base, key),
  };
  return { ...listener, tls };
}
