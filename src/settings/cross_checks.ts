/** Checks of settings that a schema cannot say: one part against another.
 * @module */

import * as columns from "../control/table/column.ts";
import type * as settings from "../schema/settings_types.ts";
import type * as table from "../schema/table_types.ts";
import type * as settingsError from "./settings_error.ts";

/** Finds what is wrong with settings that match their schema. */
type Check = (
  settings: settings.Settings,
) => Iterable<settingsError.Finding>;

type Path = settingsError.Finding["path"];

const VOTER_COUNTS = [1, 3, 5];

/** Yields all findings, in the order of the schema. */
export function* crossCheck(
  of: settings.Settings,
): Iterable<settingsError.Finding> {
  for (const check of checks) yield* check(of);
}

const checks: readonly Check[] = [
  checkHost,
  checkHosts,
  checkVoters,
  checkObservers,
  checkListen,
  checkServices,
  checkPipelines,
  checkTable,
  checkOperators,
];

function* checkHost({ host, fleet }: settings.Settings) {
  if (fleet.hosts.some(({ id }) => id === host)) return;
  const known = fleet.hosts.map(({ id }) => id).join(", ");
  yield {
    path: ["host"],
    found: show(host),
    expected: `one of the ids in fleet.hosts: ${known}`,
  };
}

function* checkHosts({ fleet }: settings.Settings) {
  const at: Path = ["fleet", "hosts"];
  yield* unique(fleet.hosts.map(({ id }) => id), { at, key: "id" });
  const addresses = fleet.hosts.map(({ address, port }, pos) =>
    port === 0 ? `any port of host ${pos}` : `${address}:${port}`
  );
  yield* unique(addresses, { at, key: "port" });
}

function* checkVoters({ host, folder, fleet }: settings.Settings) {
  const voters = fleet.hosts.filter(({ voter }) => voter);
  const alone = fleet.hosts.length === 1;
  const fits = VOTER_COUNTS.includes(voters.length);
  if (!fits && !(alone && voters.length === 0)) {
    yield {
      path: ["fleet", "hosts"],
      found: `${voters.length} voters`,
      expected: `${VOTER_COUNTS.join(", ")} voters`,
    };
  }
  if (folder !== undefined || !voters.some(({ id }) => id === host)) return;
  yield {
    path: ["folder"],
    found: "nothing",
    expected: `a data folder, since host ${host} votes`,
  };
}

function* checkObservers({ fleet: { hosts } }: settings.Settings) {
  const voting = hosts.some(({ voter }) => voter);
  for (const [pos, { voter, observer }] of hosts.entries()) {
    if (!observer || (voting && !voter)) continue;
    yield {
      path: ["fleet", "hosts", pos, "observer"] as Path,
      found: "true",
      expected: voting ? "no observer that votes" : "voters to observe",
    };
  }
}

function* checkListen({ listen: { callers, operators } }: settings.Settings) {
  if (callers.port === 0 || callers.port !== operators.port) return;
  if (callers.address !== operators.address) return;
  yield {
    path: ["listen", "operators", "port"],
    found: String(operators.port),
    expected: "another port than that of the callers",
  };
}

function* checkServices({ services }: settings.Settings) {
  const names = services.map(({ name }) => name);
  yield* unique(names, { at: ["services"], key: "name" });
  const known = new Set<string>();
  for (const [pos, { endpoints = [] }] of services.entries()) {
    for (const [place, { id }] of endpoints.entries()) {
      if (known.has(id)) {
        yield {
          path: ["services", pos, "endpoints", place, "id"],
          found: `${show(id)} again`,
          expected: "an id that no other endpoint has",
        };
      }
      known.add(id);
    }
  }
}

function* checkPipelines({ services, pipelines }: settings.Settings) {
  const names = pipelines.map(({ name }) => name);
  yield* unique(names, { at: ["pipelines"], key: "name" });
  const byName = new Map(services.map((service) => [service.name, service]));
  for (const [pos, { stages }] of pipelines.entries()) {
    const at: Path = ["pipelines", pos, "stages"];
    yield* unique(stages.map(({ name }) => name), { at, key: "name" });
    yield* checkStages(at, { stages, byName });
  }
}

interface Stages {
  stages: readonly settings.Stage[];
  byName: ReadonlyMap<string, settings.Service>;
}

function* checkStages(at: Path, { stages, byName }: Stages) {
  let encoded = false;
  for (const [pos, stage] of stages.entries()) {
    const service = byName.get(stage.service);
    const finding = explainStage(stage, { service, encoded });
    if (finding !== undefined) {
      yield { ...finding, path: [...at, pos, ...finding.path] };
    }
    encoded ||= service?.kind === "encoder";
  }
}

interface StagePlace {
  service: settings.Service | undefined;
  /** Whether an earlier stage is an encoder. */
  encoded: boolean;
}

function explainStage(
  stage: settings.Stage,
  { service, encoded }: StagePlace,
): settingsError.Finding | undefined {
  if (service === undefined) {
    const found = show(stage.service);
    return { path: ["service"], found, expected: "the name of a service" };
  }
  const { kind } = service;
  const found = `${stage.service} of kind ${kind}`;
  if (kind === "plain") {
    const expected = "an engine, encoder, retriever or reranker";
    return { path: ["service"], found, expected };
  }
  if (kind === "retriever" && !encoded) {
    const expected = "an encoder in an earlier stage, for its embedding";
    return { path: ["service"], found, expected };
  }
  return explainOptions(stage, kind);
}

function explainOptions(
  stage: settings.Stage,
  kind: settings.Service["kind"],
): settingsError.Finding | undefined {
  for (const [option, kinds] of Object.entries(optionKinds)) {
    const given = stage[option as keyof settings.Stage] !== undefined;
    if (!given || kinds.includes(kind)) continue;
    const expected = `${option} only where the service is ${
      kinds.join(" or ")
    }`;
    return { path: [option], found: `a service of kind ${kind}`, expected };
  }
}

const optionKinds: Record<string, readonly string[]> = {
  top: ["retriever", "reranker"],
  maxTokens: ["engine"],
  instruction: ["engine"],
};

function* checkTable({ services, table = [] }: settings.Settings) {
  const rows = table.map(({ row }) => row);
  yield* unique(rows, { at: ["table"], key: "row" });
  const names = new Set(services.map(({ name }) => `service/${name}`));
  for (const [pos, { row, cells }] of table.entries()) {
    if (row.startsWith("service/") && !names.has(row)) {
      const expected = "service/ and the name of a service";
      yield { path: ["table", pos, "row"], found: show(row), expected };
    }
    for (const [column, value] of Object.entries(cells)) {
      const path: Path = ["table", pos, "cells", column];
      const cell = { row, column: column as table.Column, value };
      if (columns.reject(cell) === undefined) continue;
      const expected = columns.expectation(cell);
      yield expected === undefined
        ? { path, found: "a cell", expected: `none of this column on ${row}` }
        : { path, found: show(value), expected };
    }
  }
}

function* checkOperators({ operators = [] }: settings.Settings) {
  const names = operators.map(({ name }) => name);
  yield* unique(names, { at: ["operators"], key: "name" });
}

function* unique(
  names: readonly string[],
  { at, key }: { at: Path; key: string },
) {
  const known = new Set<string>();
  for (const [pos, name] of names.entries()) {
    if (known.has(name)) {
      const path: Path = [...at, pos, key];
      yield { path, found: `${show(name)} again`, expected: "unique values" };
    }
    known.add(name);
  }
}

function show(value: unknown): string {
  return JSON.stringify(value);
}
