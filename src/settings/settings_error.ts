/** Errors of settings files and secrets.
 * @module */

/** An invalid value: its path in the document, its value and what is expected
 * instead. */
export interface Finding {
  /** Keys and indices from the root of the document. */
  path: readonly (string | number)[];
  found: string;
  expected: string;
}

/** A finding with its file and line. */
export interface Location extends Finding {
  file: string;
  /** Line number from 1; 0 when the line is unknown. */
  line: number;
}

/** Thrown when a settings file, or a secret it refers to, cannot be used. */
export class SettingsError extends Error {
  override readonly name = "SettingsError";
  readonly file: string;
  readonly line: number;
  /** JSON pointer to the invalid value. */
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
