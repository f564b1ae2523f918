/** What a request is known by in quarantine: the fingerprint of its content, and
 * those of the prompt parts that other requests may share.
 * @module */

import * as fingerprints from "./fingerprint.ts";

/** A prompt part, as far as quarantine needs it. */
export interface Part {
  readonly id: string;
}

/** Options of an `Identity`. */
export interface IdentityOptions {
  readonly content: fingerprints.RequestContent;
  /** Parts of the prompt in order; the last one is the request's own. */
  readonly parts?: readonly Part[];
}

/** Identity of one request. Immutable; computes the fingerprint of the content
 * when it is first needed. */
export class Identity {
  /** Fingerprints of the parts that other requests may share, in order. */
  readonly parts: readonly string[];
  readonly #content: fingerprints.RequestContent;
  #request?: string;

  private constructor({ content, parts = [] }: IdentityOptions) {
    this.#content = content;
    this.parts = parts.slice(0, -1).map(({ id }) => fingerprints.ofPart(id));
  }

  static create(options: IdentityOptions): Identity {
    return new Identity(options);
  }

  /** Fingerprint of the content. */
  get request(): string {
    return this.#request ??= fingerprints.of(this.#content);
  }

  /** Whether the fingerprint of the content was needed. */
  get isComputed(): boolean {
    return this.#request !== undefined;
  }

  /** All fingerprints, that of the content first. */
  get all(): readonly string[] {
    return [this.request, ...new Set(this.parts)];
  }
}
