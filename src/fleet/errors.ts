/** Errors of hosts that find each other by seeds.
 * @module */

/** A host could not start, or a message to it could not be read. */
export class FleetError extends Error {
  override readonly name = "FleetError";
}
