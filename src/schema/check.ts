/** Checks values against generated validators.
 * @module */

/** A validator as the schema compiler writes it. */
export interface Validator {
  (value: unknown): boolean;
  errors?: readonly Violation[] | null;
}

/** What a validator found wrong first. */
export interface Violation {
  keyword: string;
  instancePath: string;
  message?: string;
  params: Record<string, unknown>;
  data?: unknown;
}

/** A value does not match its schema. */
export class SchemaError extends Error {
  override readonly name = "SchemaError";
  /** JSON pointer of the offending value. */
  readonly path: string;
  /** What stands there, shortened. */
  readonly found: string;
  /** What should stand there. */
  readonly expected: string;

  constructor(violation: Violation) {
    const { path, found, expected } = describe(violation);
    super(`${path || "/"}: found ${found}, expected ${expected}`);
    this.path = path;
    this.found = found;
    this.expected = expected;
  }
}

/** Returns `value` as a `T`, or throws a `SchemaError`. */
export function check<T>(validate: Validator, value: unknown): T {
  if (validate(value)) return value as T;
  throw new SchemaError(validate.errors![0]);
}

interface Description {
  path: string;
  found: string;
  expected: string;
}

const MOST_SHOWN = 60;

function describe(violation: Violation): Description {
  const describer = describers[violation.keyword] ?? describeDefault;
  return describer(violation);
}

const describers: Record<string, (violation: Violation) => Description> = {
  additionalProperties: ({ instancePath, params }) => ({
    path: `${instancePath}/${params.additionalProperty}`,
    found: "an unknown key",
    expected: "no such key",
  }),
  required: ({ instancePath, params }) => ({
    path: `${instancePath}/${params.missingProperty}`,
    found: "nothing",
    expected: "a value",
  }),
  enum: ({ instancePath, params, data }) => ({
    path: instancePath,
    found: show(data),
    expected: `one of ${(params.allowedValues as unknown[]).join(", ")}`,
  }),
};

function describeDefault(violation: Violation): Description {
  const { instancePath, message, data } = violation;
  return {
    path: instancePath,
    found: show(data),
    expected: (message ?? "another value").replace(/^must (be |have )?/, ""),
  };
}

function show(value: unknown): string {
  const text = JSON.stringify(value) ?? "nothing";
  if (text.length <= MOST_SHOWN) return text;
  return `${text.slice(0, MOST_SHOWN)}...`;
}
