/** Pipelines and plain services that the settings define.
 * @module */

import type * as request from "./request.ts";
import type * as settings from "../schema/settings_types.ts";

/** One stage with the parameters of its handler. */
export interface Step extends request.Stage {
  model: string;
  /** Number of documents to return. */
  top: number;
  instruction: string;
}

/** A pipeline; a plain service is one with a single stage. */
export interface Target {
  name: string;
  /** Default and upper bound of a request's deadline, in milliseconds. */
  deadline: number;
  steps: readonly Step[];
  /** False when any stage may not be repeated. */
  idempotent: boolean;
}

/** Default and upper bound of the deadline of calls to plain services, in
 * milliseconds. */
export const SERVICE_DEADLINE_MS = 30_000;
const DEFAULT_TOP = 8;
const DEFAULT_MAX_TOKENS = 256;

/** Request targets by name. */
export class Catalogue {
  readonly #pipelines = new Map<string, Target>();
  readonly #services = new Map<string, Target>();

  static create(from: settings.Settings): Catalogue {
    const catalogue = new Catalogue();
    const services = new Map(from.services.map((each) => [each.name, each]));
    for (const pipeline of from.pipelines) {
      const target = compile(pipeline, services);
      catalogue.#pipelines.set(pipeline.name, target);
    }
    for (const service of from.services) {
      if (service.kind !== "plain") continue;
      catalogue.#services.set(service.name, compilePlain(service));
    }
    return catalogue;
  }

  pipeline(name: string): Target | undefined {
    return this.#pipelines.get(name);
  }

  /** Finds a plain service by name. */
  service(name: string): Target | undefined {
    return this.#services.get(name);
  }
}

/** A pipeline uses a service that the settings do not define. */
export class CatalogueError extends Error {
  override readonly name = "CatalogueError";
}

function compile(
  pipeline: settings.Pipeline,
  services: ReadonlyMap<string, settings.Service>,
): Target {
  const stages: readonly settings.Stage[] = pipeline.stages;
  const used = stages.map((stage) => {
    const found = services.get(stage.service);
    if (found !== undefined) return found;
    throw new CatalogueError(
      `Pipeline ${pipeline.name} uses undefined service ${stage.service}`,
    );
  });
  return {
    name: pipeline.name,
    deadline: pipeline.deadline,
    steps: stages.map((stage, index) => stepOf(stage, used[index])),
    idempotent: used.every((service) => service.idempotent !== false),
  };
}

function compilePlain(service: settings.Service): Target {
  const { name, idempotent = true } = service;
  const steps = [stepOf({ name: "call", service: name }, service)];
  return { name, deadline: SERVICE_DEADLINE_MS, steps, idempotent };
}

function stepOf(stage: settings.Stage, service: settings.Service): Step {
  const generates = service.kind === "engine";
  return {
    name: stage.name,
    service: stage.service,
    kind: service.kind,
    maxTokens: generates ? stage.maxTokens ?? DEFAULT_MAX_TOKENS : 0,
    model: service.model ?? "",
    top: stage.top ?? DEFAULT_TOP,
    instruction: stage.instruction ?? "",
  };
}
