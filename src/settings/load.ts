/** Loads settings: parses YAML, validates it and resolves host-specific values.
 * @module */

import * as fs from "node:fs";
import * as schema from "../schema/check.ts";
import type * as settings from "../schema/settings_types.ts";
import * as validators from "../schema/settings_validators.ts";
import * as crossChecks from "./cross_checks.ts";
import * as document from "./document.ts";
import * as effective from "./effective.ts";
import * as settingsError from "./settings_error.ts";

/** Command-line overrides of the settings file. */
export interface LoadOptions {
  /** Id of the host; overrides the one in the file. */
  host?: string;
}

/** Reads and validates a settings file. Returns the settings of one host, with
 * absolute paths; throws a `SettingsError` when the file cannot be used. */
export function load(
  file: string,
  options: LoadOptions = {},
): settings.Settings {
  return parse(readFile(file), { ...options, file });
}

/** Options of `parse`. */
export interface ParseOptions extends LoadOptions {
  /** File name in error messages; relative paths are resolved against its
   * folder. */
  file: string;
}

/** Validates and resolves the text of a settings file, as `load` does. */
export function parse(text: string, options: ParseOptions): settings.Settings {
  const source = document.Document.parse(options.file, text);
  const checked = checkSchema(source);
  const resolved = effective.resolve(checked, options);
  for (const finding of crossChecks.crossCheck(resolved)) {
    throw source.error(finding);
  }
  return resolved;
}

function readFile(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (cause) {
    const found = (cause as NodeJS.ErrnoException).code ?? "an error";
    const expected = "a readable file";
    const location = { file, line: 0, path: [], found, expected };
    throw new settingsError.SettingsError(location, { cause });
  }
}

function checkSchema(source: document.Document): settings.Settings {
  try {
    return schema.check(validators.validate, source.value());
  } catch (cause) {
    if (!(cause instanceof schema.SchemaError)) throw cause;
    const { found, expected } = cause;
    throw source.error({ path: steps(cause.path), found, expected });
  }
}

function steps(pointer: string): string[] {
  return pointer.split("/").slice(1)
    .map((step) => step.replaceAll("~1", "/").replaceAll("~0", "~"));
}
