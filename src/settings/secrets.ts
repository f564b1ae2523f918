/** Reads the secrets that settings refer to. Error messages never contain the
 * values of secrets.
 * @module */

import * as fs from "node:fs";
import type * as settings from "../schema/settings_types.ts";
import * as settingsError from "./settings_error.ts";

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Returns the value of a secret; throws a `SettingsError` when it is missing
 * or empty. */
export function readSecret(
  secret: settings.Secret,
  environment: Environment = process.env,
): string {
  if (secret.file !== undefined) return readSecretFile(secret.file);
  const name = secret.env ?? "";
  const value = environment[name] ?? "";
  if (value !== "") return value;
  throw new settingsError.SettingsError({
    file: "environment",
    line: 0,
    path: [name],
    found: "nothing",
    expected: "a secret",
  });
}

function readSecretFile(file: string): string {
  const fail = (found: string, cause?: unknown) =>
    new settingsError.SettingsError({
      file,
      line: 0,
      path: [],
      found,
      expected: "a file that holds a secret",
    }, { cause });
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (cause) {
    throw fail((cause as NodeJS.ErrnoException).code ?? "an error", cause);
  }
  const value = text.trim();
  if (value === "") throw fail("nothing");
  return value;
}
