/** The configuration that operators apply as a whole: its types, its validation
 * and the index of one version.
 * @module */

export * from "./catalogue.ts";
export * from "./configuration.ts";
export * from "./validation.ts";
export * from "./compression.ts";
