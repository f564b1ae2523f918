/** Finds an operator by bearer token, in constant time.
 * @module */

import * as crypto from "node:crypto";

/** Readers look; editors also edit and drain. */
export type Role = "reader" | "editor";

/** Who calls. */
export interface Operator {
  name: string;
  role: Role;
}

/** An operator with the token in plain text, as it was read. */
export interface Credential extends Operator {
  token: string;
}

interface Known {
  operator: Operator;
  digest: Uint8Array;
}

/** All operators of a host; tokens are kept as digests only. */
export class Operators {
  #known: readonly Known[];

  private constructor(known: readonly Known[]) {
    this.#known = known;
  }

  /** Operators who have these tokens. */
  static create(credentials: readonly Credential[]): Operators {
    return new Operators(credentials.map(({ name, role, token }) => ({
      operator: { name, role },
      digest: digestOf(token),
    })));
  }

  /** The operator whom an `Authorization` header names. Compares with every
   * digest, so that the time taken does not tell which one was near. */
  find(header: string | undefined): Operator | undefined {
    const token = /^Bearer +(\S+)$/i.exec(header ?? "")?.[1] ?? "";
    const digest = digestOf(token);
    let found: Operator | undefined;
    for (const { operator, digest: known } of this.#known) {
      if (crypto.timingSafeEqual(digest, known)) found = operator;
    }
    return found;
  }
}

function digestOf(token: string): Uint8Array {
  return crypto.createHash("sha256").update(token).digest();
}
