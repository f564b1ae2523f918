/** Errors of hosts in a fleet that is discovered through seeds.
 * @module */

/** A host failed to start, or could not read a request body. */
export class FleetError extends Error {
  override readonly name = "FleetError";
}
