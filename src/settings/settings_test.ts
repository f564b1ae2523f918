import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import test from "ava";
import * as settings from "./mod.ts";

const VALID = `host: a
folder: ./data/{host}
fleet:
  hosts:
    - { id: a, dataCentre: hall, address: 127.0.0.1, port: 1001, voter: true }
    - { id: b, dataCentre: hall, address: 127.0.0.1, port: 1002 }
listen:
  callers: { port: 2001 }
  operators: { port: 3001 }
services:
  - { name: lm-pool, kind: engine }
  - { name: encoders, kind: encoder }
  - { name: retrievers, kind: retriever }
  - { name: desk, kind: plain, idempotent: false }
pipelines:
  - name: plan
    deadline: 9000
    stages:
      - { name: encode, service: encoders }
      - { name: retrieve, service: retrievers, top: 4 }
      - { name: generate, service: lm-pool, maxTokens: 64 }
table:
  - row: account/crews
    cells: { weight: 2 }
operators:
  - { name: ines, token: { env: INES_TOKEN } }
`;

function parse(text: string, host?: string) {
  return settings.parse(text, { file: "/etc/loft/fleet.yaml", host });
}

function messageOf(text: string, host?: string): string {
  try {
    parse(text, host);
  } catch (error) {
    if (error instanceof settings.SettingsError) return error.message;
    throw error;
  }
  return "no error";
}

/** The valid settings with the first occurrence of `from` replaced. */
function replaced(from: string, to: string): string {
  return VALID.replace(from, to);
}

interface InvalidSettings {
  title: string;
  text: string;
  message: string;
}

const invalid: readonly InvalidSettings[] = [
  {
    title: "an unknown key",
    text: replaced("maxTokens: 64", "maxTokenz: 64"),
    message: "fleet.yaml:21: /pipelines/0/stages/2/maxTokenz: " +
      "found an unknown key, expected no such key",
  },
  {
    title: "a wrong type",
    text: replaced("deadline: 9000", "deadline: soon"),
    message: 'fleet.yaml:17: /pipelines/0/deadline: found "soon", ' +
      "expected integer",
  },
  {
    title: "a missing value",
    text: replaced("  callers: { port: 2001 }\n", ""),
    message: "fleet.yaml:7: /listen/callers: found nothing, expected a value",
  },
  {
    title: "broken YAML",
    text: replaced("host: a", "host: [a"),
    message: "fleet.yaml:2: /: found Flow sequence in block collection must " +
      "be sufficiently indented and end with a ], expected valid YAML",
  },
  {
    title: "a duplicate key",
    text: replaced("host: a", "host: a\nhost: b"),
    message: "fleet.yaml:2: /: found Map keys must be unique, " +
      "expected valid YAML",
  },
  {
    title: "a host that is not in the fleet",
    text: replaced("host: a", "host: c"),
    message: 'fleet.yaml:1: /host: found "c", ' +
      "expected one of the ids in fleet.hosts: a, b",
  },
  {
    title: "an even number of voters",
    text: replaced("port: 1002 }", "port: 1002, voter: true }"),
    message: "fleet.yaml:4: /fleet/hosts: found 2 voters, " +
      "expected 1, 3, 5 voters",
  },
  {
    title: "a voter without a data folder",
    text: replaced("folder: ./data/{host}\n", ""),
    message: "fleet.yaml:1: /folder: found nothing, " +
      "expected a data folder, since host a votes",
  },
  {
    title: "a voter that is an observer",
    text: replaced("port: 1001,", "port: 1001, observer: true,"),
    message: "fleet.yaml:5: /fleet/hosts/0/observer: found true, " +
      "expected no observer that votes",
  },
  {
    title: "two hosts with the same id",
    text: replaced("id: b,", "id: a,"),
    message: 'fleet.yaml:6: /fleet/hosts/1/id: found "a" again, ' +
      "expected unique values",
  },
  {
    title: "a stage that names an unknown service",
    text: replaced("service: encoders", "service: coders"),
    message: 'fleet.yaml:19: /pipelines/0/stages/0/service: found "coders", ' +
      "expected the name of a service",
  },
  {
    title: "a plain service in a pipeline",
    text: replaced("service: lm-pool, maxTokens: 64", "service: desk"),
    message: "fleet.yaml:21: /pipelines/0/stages/2/service: " +
      "found desk of kind plain, " +
      "expected an engine, encoder, retriever or reranker",
  },
  {
    title: "a retriever without an earlier encoder",
    text: replaced("      - { name: encode, service: encoders }\n", ""),
    message: "fleet.yaml:19: /pipelines/0/stages/0/service: " +
      "found retrievers of kind retriever, " +
      "expected an encoder in an earlier stage, for its embedding",
  },
  {
    title: "a stage option that its kind of service does not accept",
    text: replaced("top: 4", "maxTokens: 4"),
    message: "fleet.yaml:20: /pipelines/0/stages/1/maxTokens: " +
      "found a service of kind retriever, " +
      "expected maxTokens only where the service is engine",
  },
  {
    title: "a cell whose value is out of range",
    text: replaced("weight: 2", "weight: 0"),
    message: "fleet.yaml:24: /table/0/cells/weight: found 0, " +
      "expected a number above 0",
  },
  {
    title: "a load rate of zero",
    text: `${VALID}limits: { loadRate: 0 }\n`,
    message: "fleet.yaml:27: /limits/loadRate: found 0, expected > 0",
  },
  {
    title: "a row that names an unknown service",
    text: replaced("row: account/crews", "row: service/crews"),
    message: 'fleet.yaml:23: /table/0/row: found "service/crews", ' +
      "expected service/ and the name of a service",
  },
];

for (const { title, text, message } of invalid) {
  test(`settings with ${title} are rejected with line and path`, (t) => {
    t.is(messageOf(text), `/etc/loft/${message}`);
  });
}

test("relative paths in valid settings become absolute", (t) => {
  t.is(parse(VALID).folder, "/etc/loft/data/a");
});

test("a host given as an option uses its own listeners", (t) => {
  const listen = "listen: { callers: { port: 5 }, operators: { port: 6 } }";
  const text = replaced("port: 1002 }", `port: 1002, ${listen} }`);
  const { host, folder, listen: found } = parse(text, "b");
  t.deepEqual([host, folder], ["b", "/etc/loft/data/b"]);
  t.deepEqual(found, { callers: { port: 5 }, operators: { port: 6 } });
});

test("an unreadable file is reported differently from an invalid one", (t) => {
  const file = "/nowhere/fleet.yaml";
  t.throws(() => settings.load(file), {
    message: `${file}: /: found ENOENT, expected a readable file`,
  });
});

test("a secret is read from the environment or from a file", (t) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  const file = path.join(folder, "token");
  fs.writeFileSync(file, "of-file\n");
  t.is(settings.readSecret({ file }), "of-file");
  t.is(settings.readSecret({ env: "TOKEN" }, { TOKEN: "of-env" }), "of-env");
  t.throws(() => settings.readSecret({ env: "TOKEN" }, {}), {
    message: "environment: /TOKEN: found nothing, expected a secret",
  });
  fs.rmSync(folder, { recursive: true });
});
