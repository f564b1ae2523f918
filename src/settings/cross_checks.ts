/** Consistency checks between parts of the settings that the JSON schema cannot
 * express, such as references and unique names.
 * @module */

import * as columns from "../control/table/column.ts";
import type * as settings from "../schema/settings_types.ts";
import type * as table from "../schema/table_types.ts";
import type * as settingsError from "./settings_error.ts";

/** Yields the findings of one rule for settings that match their schema. */
type Check = (
  settings: settings.Settings,
) => Iterable<settingsError.Finding>;

type Path = settingsError.Finding["path"];

const VOTER_COUNTS = [1, 3, 5];

/** Yields the findings of all checks, in the order of the schema's keys. */
export function* crossCheck(
  checked: settings.Settings,
): Iterable<settingsError.Finding> {
  for (const check of checks) yield* check(checked);
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
  const ids = fleet.hosts.map(({ id }) => id).join(", ");
  yield {
    path: ["host"],
    found: show(host),
    expected: `one of the ids in fleet.hosts: ${ids}`,
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
  const isSingleHost = fleet.hosts.length === 1;
  const isValidCount = VOTER_COUNTS.includes(voters.length);
  if (!isValidCount && !(isSingleHost && voters.length === 0)) {
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
  const hasVoters = hosts.some(({ voter }) => voter);
  for (const [pos, { voter, observer }] of hosts.entries()) {
    if (!observer || (hasVoters && !voter)) continue;
    yield {
      path: ["fleet", "hosts", pos, "observer"] as Path,
      found: "true",
      expected: hasVoters ? "no observer that votes" : "voters to observe",
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
  const seen = new Set<string>();
  for (const [pos, { endpoints = [] }] of services.entries()) {
    for (const [endpointPos, { id }] of endpoints.entries()) {
      if (seen.has(id)) {
        yield {
          path: ["services", pos, "endpoints", endpointPos, "id"],
          found: `${show(id)} again`,
          expected: "an id that no other endpoint has",
        };
      }
      seen.add(id);
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

interface StageList {
  stages: readonly settings.Stage[];
  byName: ReadonlyMap<string, settings.Service>;
}

function* checkStages(at: Path, { stages, byName }: StageList) {
  let hasEncoder = false;
  for (const [pos, stage] of stages.entries()) {
    const service = byName.get(stage.service);
    const finding = checkStage(stage, { service, hasEncoder });
    if (finding !== undefined) {
      yield { ...finding, path: [...at, pos, ...finding.path] };
    }
    hasEncoder ||= service?.kind === "encoder";
  }
}

interface StageContext {
  service: settings.Service | undefined;
  /** Whether an earlier stage of the pipeline is an encoder. */
  hasEncoder: boolean;
}

function checkStage(
  stage: settings.Stage,
  { service, hasEncoder }: StageContext,
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
  if (kind === "retriever" && !hasEncoder) {
    const expected = "an encoder in an earlier stage, for its embedding";
    return { path: ["service"], found, expected };
  }
  return checkOptions(stage, kind);
}

function checkOptions(
  stage: settings.Stage,
  kind: settings.Service["kind"],
): settingsError.Finding | undefined {
  for (const [option, kinds] of Object.entries(optionKinds)) {
    const isSet = stage[option as keyof settings.Stage] !== undefined;
    if (!isSet || kinds.includes(kind)) continue;
    const expected = `${option} only where the service is ${
      kinds.join(" or ")
    }`;
    return { path: [option], found: `a service of kind ${kind}`, expected };
  }
}

/** Kinds of service that accept each option of a stage. */
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
      if (columns.rejectionReason(cell) === undefined) continue;
      const expected = columns.expectedValue(cell);
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
  const seen = new Set<string>();
  for (const [pos, name] of names.entries()) {
    if (seen.has(name)) {
      const path: Path = [...at, pos, key];
      yield { path, found: `${show(name)} again`, expected: "unique values" };
    }
    seen.add(name);
  }
}

function show(value: unknown): string {
  return JSON.stringify(value);
}
