/** The error of a settings file that cannot be used.
 * @module */

/** What is wrong, and where in the document. */
export interface Finding {
  /** Steps from the root of the document. */
  path: readonly (string | number)[];
  found: string;
  expected: string;
}

/** A finding in a file. */
export interface Location extends Finding {
  file: string;
  /** Counts from 1; 0 when no line can be named. */
  line: number;
}

/** A settings file, or a secret it refers to, cannot be used. */
export class SettingsError extends Error {
  override readonly name = "SettingsError";
  readonly file: string;
  readonly line: number;
  /** JSON pointer of the offending value. */
  readonly path: string;
  readonly found: string;
  readonly expected: string;

  constructor(location: Location, options?: ErrorOptions) {
    const { file, line, found, expected } = location;
    const path = `/${location.path.join("/")}`;
    const place = line > 0 ? `${file}:${line}` : file;
    super(`${place}: ${path}: found ${found}, expected ${expected}`, options);
    this.file = file;
    this.line = line;
    this.path = path;
    this.found = found;
    this.expected = expected;
  }
}
