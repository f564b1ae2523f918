/** A YAML document that maps paths of values to line numbers.
 * @module */

import * as yaml from "yaml";
import * as settingsError from "./settings_error.ts";

/** A parsed YAML file. */
export class Document {
  readonly file: string;
  #root: yaml.Document;
  #lines: yaml.LineCounter;

  private constructor(
    file: string,
    root: yaml.Document,
    lines: yaml.LineCounter,
  ) {
    this.file = file;
    this.#root = root;
    this.#lines = lines;
  }

  /** Parses `text`; throws a `SettingsError` when it is not valid YAML. */
  static parse(file: string, text: string): Document {
    const lineCounter = new yaml.LineCounter();
    const root = yaml.parseDocument(text, { lineCounter, prettyErrors: false });
    const document = new Document(file, root, lineCounter);
    const problem = root.errors[0];
    if (problem === undefined) return document;
    throw new settingsError.SettingsError({
      file,
      line: document.#line(problem.pos[0]),
      path: [],
      found: problem.message,
      expected: "valid YAML",
    }, { cause: problem });
  }

  /** The whole document as plain data. */
  value(): unknown {
    try {
      return this.#root.toJS();
    } catch (cause) {
      const found = (cause as Error).message;
      throw this.error({ path: [], found, expected: "fewer aliases" });
    }
  }

  /** Converts a finding into an error with file and line. */
  error(finding: settingsError.Finding): settingsError.SettingsError {
    const line = this.lineOf(finding.path);
    const { file } = this;
    return new settingsError.SettingsError({ ...finding, file, line });
  }

  /** Line of the value at `path`, or of its nearest existing ancestor. */
  lineOf(path: readonly (string | number)[]): number {
    let node: unknown = this.#root.contents;
    let offset = 0;
    for (const step of path) {
      const pair = childOf(node, step);
      if (pair === undefined) break;
      offset = offsetOf(pair.key) ?? offsetOf(pair.value) ?? offset;
      node = pair.value;
    }
    return this.#line(offset);
  }

  #line(offset: number): number {
    return Math.max(1, this.#lines.linePos(offset).line);
  }
}

interface Child {
  key: unknown;
  value: unknown;
}

function childOf(node: unknown, step: string | number): Child | undefined {
  if (yaml.isMap(node)) {
    return node.items.find(({ key }) =>
      yaml.isScalar(key) && String(key.value) === String(step)
    );
  }
  if (!yaml.isSeq(node)) return undefined;
  const value = node.items[Number(step)];
  return value === undefined ? undefined : { key: undefined, value };
}

function offsetOf(node: unknown): number | undefined {
  return yaml.isNode(node) ? node.range?.[0] : undefined;
}
