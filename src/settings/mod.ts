/** Settings of a host, read from one YAML file for the whole fleet and fully
 * validated before any part of the host starts.
 * @module */

export { initialEdits, MAX_CHANGES_PER_EDIT } from "./initial_edits.ts";
export { load, type LoadOptions, parse, type ParseOptions } from "./load.ts";
export { type Environment, readSecret } from "./secrets.ts";
export { type Finding, SettingsError } from "./settings_error.ts";
