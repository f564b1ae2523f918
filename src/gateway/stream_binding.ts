/** What a stream is bound to: the software version of the endpoint that began
 * it. The output of two versions does not fit together, so no later call for
 * the stream may go to an endpoint of another version.
 * @module */

import type * as endpoints from "./endpoint.ts";

/** The binding of one request's stream; changed in place. */
export class StreamBinding {
  #version?: string;

  static create(): StreamBinding {
    return new StreamBinding();
  }

  /** Version that further calls need; undefined while any will do. */
  get version(): string | undefined {
    return this.#version;
  }

  /** Binds the stream to the endpoint whose event is relayed first. Until then
   * a retry may change the version. */
  bind({ identity }: endpoints.Endpoint): void {
    this.#version ??= identity.version;
  }
}
