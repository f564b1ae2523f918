/** Generates types and validators from `schema/*.yaml` into `src/schema/`.
 * With `--check` it writes nothing and fails when the files differ.
 * @module */

import * as fs from "node:fs";
import * as path from "node:path";
import * as ajv from "ajv/dist/2020.js";
import * as standalone from "ajv/dist/standalone/index.js";
import * as compiler from "json-schema-to-typescript";
import * as yaml from "yaml";

const SOURCE = "schema";
const TARGET = "src/schema";

interface SchemaFile {
  name: string;
  schema: Record<string, unknown> & { title: string };
}

interface GeneratedFile {
  file: string;
  text: string;
}

async function main(): Promise<void> {
  const generated: GeneratedFile[] = [];
  for (const file of readSchemas()) {
    generated.push(await generateTypes(file), generateValidator(file));
  }
  if (process.argv.includes("--check")) check(generated);
  else generated.forEach(({ file, text }) => fs.writeFileSync(file, text));
}

function readSchemas(): SchemaFile[] {
  return fs.readdirSync(SOURCE)
    .filter((file) => file.endsWith(".yaml"))
    .sort()
    .map((file) => ({
      name: path.basename(file, ".yaml"),
      schema: yaml.parse(fs.readFileSync(path.join(SOURCE, file), "utf8")),
    }));
}

async function generateTypes(
  { name, schema }: SchemaFile,
): Promise<GeneratedFile> {
  const text = await compiler.compile(structuredClone(schema), schema.title, {
    additionalProperties: false,
    bannerComment: `/** Types generated from schema/${name}.yaml.\n` +
      " * @module */",
    declareExternallyReferenced: true,
    format: true,
    unreachableDefinitions: true,
    cwd: path.resolve(SOURCE),
  });
  return { file: path.join(TARGET, `${name}_types.ts`), text };
}

function generateValidator({ name, schema }: SchemaFile): GeneratedFile {
  // Without `unicode` the code needs no helper of the compiler at run time.
  const instance = new ajv.Ajv2020({
    allErrors: false,
    discriminator: true,
    unicode: false,
    verbose: true,
    strictTypes: false,
    strictRequired: false,
    code: { source: true, esm: true, lines: true },
  });
  const code = standalone.default.default(instance, instance.compile(schema));
  if (code.includes("require(")) {
    throw new Error(`schema/${name}.yaml needs run-time help of the compiler`);
  }
  const text = `/** Validator generated from schema/${name}.yaml.\n` +
    ` * @module */\n\n// @ts-nocheck: generated code\n${code}\n`;
  return { file: path.join(TARGET, `${name}_validators.ts`), text };
}

function check(generated: readonly GeneratedFile[]): void {
  const stale = generated.filter(({ file, text }) =>
    !fs.existsSync(file) || fs.readFileSync(file, "utf8") !== text
  );
  for (const { file } of stale) {
    console.error(`${file} does not match its schema; run npm run generate`);
  }
  if (stale.length > 0) process.exitCode = 1;
}

await main();
