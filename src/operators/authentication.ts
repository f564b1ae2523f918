/** Authenticates operators by bearer token, in constant time.
 * @module */

import * as crypto from "node:crypto";

/** Readers have read-only access; editors may also edit the table and drain
 * hosts. */
export type Role = "reader" | "editor";

/** An authenticated operator. */
export interface Operator {
  name: string;
  role: Role;
}

/** An operator with its token in plain text. */
export interface Credential extends Operator {
  token: string;
}

interface HashedCredential {
  operator: Operator;
  digest: Uint8Array;
}

/** The operators of a host; only digests of their tokens are kept. */
export class Operators {
  #credentials: readonly HashedCredential[];

  private constructor(known: readonly HashedCredential[]) {
    this.#credentials = known;
  }

  /** Creates the operators from their credentials. */
  static create(credentials: readonly Credential[]): Operators {
    return new Operators(credentials.map(({ name, role, token }) => ({
      operator: { name, role },
      digest: digestOf(token),
    })));
  }

  /** Finds the operator by the token in an `Authorization` header. Compares with
   * every digest, so that timing does not reveal which one matches. */
  find(header: string | undefined): Operator | undefined {
    const token = /^Bearer +(\S+)$/i.exec(header ?? "")?.[1] ?? "";
    const digest = digestOf(token);
    let found: Operator | undefined;
    for (const { operator, digest: known } of this.#credentials) {
      if (crypto.timingSafeEqual(digest, known)) found = operator;
    }
    return found;
  }
}

function digestOf(token: string): Uint8Array {
  return crypto.createHash("sha256").update(token).digest();
}
