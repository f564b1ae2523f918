/** Errors of hosts in a fleet that is discovered through seeds.
 * @module */

/** A host failed to start, could not read a request body, or has too much to
 * store. */
export class FleetError extends Error {
  override readonly name = "FleetError";
}
