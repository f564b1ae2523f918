/** Errors of the path of requests.
 * @module */

/** The path of requests cannot work. */
export class GatewayError extends Error {
  override readonly name = "GatewayError";
}
