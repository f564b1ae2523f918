/** What a checker throws.
 * @module */

/** Something that must always hold did not. */
export class Violation extends Error {
  override readonly name = "Violation";
}

/** Throws a violation with `message` unless `holds`. */
export function ensure(holds: boolean, message: string): void {
  if (!holds) throw new Violation(message);
}
