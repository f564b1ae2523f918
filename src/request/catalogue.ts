/** Pipelines and services as the settings name them.
 * @module */

import type * as request from "./request.ts";
import type * as settings from "../schema/settings_types.ts";

/** One stage with what its handler needs. */
export interface Step extends request.Stage {
  model: string;
  /** Documents that are kept. */
  top: number;
  instruction: string;
}

/** A pipeline, or a plain service as a pipeline of one stage. */
export interface Target {
  name: string;
  /** Milliseconds, also the most that a caller may name. */
  deadline: number;
  steps: readonly Step[];
  /** False when a stage may not be repeated. */
  idempotent: boolean;
}

/** Milliseconds of a plain call when the caller names none, and at most. */
export const SERVICE_DEADLINE = 30_000;
const TOP = 8;
const MAX_TOKENS = 256;

/** Targets of requests by name. */
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

  /** A plain service. */
  service(name: string): Target | undefined {
    return this.#services.get(name);
  }
}

/** The settings name a service that they don't describe. */
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
      `Pipeline ${pipeline.name} uses ${stage.service}, which is no service`,
    );
  });
  return {
    name: pipeline.name,
    deadline: pipeline.deadline,
    steps: stages.map((stage, pos) => stepOf(stage, used[pos])),
    idempotent: used.every((service) => service.idempotent !== false),
  };
}

function compilePlain(service: settings.Service): Target {
  const { name, idempotent = true } = service;
  const steps = [stepOf({ name: "call", service: name }, service)];
  return { name, deadline: SERVICE_DEADLINE, steps, idempotent };
}

function stepOf(stage: settings.Stage, service: settings.Service): Step {
  const generates = service.kind === "engine";
  return {
    name: stage.name,
    service: stage.service,
    kind: service.kind,
    maxTokens: generates ? stage.maxTokens ?? MAX_TOKENS : 0,
    model: service.model ?? "",
    top: stage.top ?? TOP,
    instruction: stage.instruction ?? "",
  };
}
