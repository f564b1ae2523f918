/** Reads experiment files.
 * @module */

import * as fs from "node:fs";
import * as schema from "../../src/schema/check.ts";
import type * as experiment from "../../src/schema/experiment_types.ts";
import * as validators from "../../src/schema/experiment_validators.ts";
import * as document from "../../src/settings/document.ts";
import * as target from "./target.ts";

/** Reads and checks a file, or throws an `ExperimentError` that names file,
 * line, what was found and what was expected. */
export function load(file: string): experiment.Experiment {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (cause) {
    const found = (cause as NodeJS.ErrnoException).code;
    throw new target.ExperimentError(
      `${file}: found ${found}, expected a readable file`,
      { cause },
    );
  }
  return parse(file, text);
}

/** Checks the text of a file, as `load` does. */
export function parse(file: string, text: string): experiment.Experiment {
  try {
    return check(document.Document.parse(file, text));
  } catch (cause) {
    throw new target.ExperimentError((cause as Error).message, { cause });
  }
}

function check(source: document.Document): experiment.Experiment {
  try {
    return schema.check(validators.validate, source.value());
  } catch (cause) {
    if (!(cause instanceof schema.SchemaError)) throw cause;
    const { found, expected } = cause;
    const path = cause.path.split("/").slice(1);
    throw source.error({ path, found, expected });
  }
}
