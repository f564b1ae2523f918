/** What a stream is bound to: the service and the software version of the
 * endpoint that began it. The output of two versions does not fit together, so
 * no call that continues the stream may go to an endpoint of another one, in
 * this answer or in one to a later attempt of the caller.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as origins from "../origins/mod.ts";
import * as admissions from "./admission.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";
import * as unavailabilities from "./unavailability.ts";

/** Multiple of a route's timeout for which the origin of a stream is kept after
 * its last attempt: one attempt may take the whole timeout. */
const LIFETIME_TIMEOUT_COUNT = 2;
/** Retry delay of a resumed stream while control hosts do not answer. */
const ORIGIN_RETRY_S = 0.5;

/** A request whose answer may be a stream. */
export interface StreamRequest {
  readonly incoming: protocols.IncomingRequest;
  readonly route: configurations.Route;
  readonly account?: configurations.Account;
}

/** The service that a request goes to, or why it goes to none. */
export type ServiceChoice =
  | { readonly type: "service"; readonly service: string }
  | {
    readonly type: "none";
    readonly reason: refusals.RefusalReason;
    readonly details: Readonly<Record<string, unknown>>;
  };

type Dependencies = Pick<
  contexts.Context,
  "clock" | "random" | "pool" | "origins"
>;

/** The binding of one request's stream; changed in place. */
export class StreamBinding {
  readonly #dependencies: Dependencies;
  readonly #request: StreamRequest;
  #version?: string;
  #finding?: origins.Finding;

  private constructor(dependencies: Dependencies, request: StreamRequest) {
    this.#dependencies = dependencies;
    this.#request = request;
  }

  static create(
    dependencies: Dependencies,
    request: StreamRequest,
  ): StreamBinding {
    return new StreamBinding(dependencies, request);
  }

  /** Version that further calls need; undefined while any will do. */
  get version(): string | undefined {
    return this.#version;
  }

  /** Where a resumed stream began, or why that is unknown, for the log line of
   * its request. */
  get record(): unknown {
    const finding = this.#finding;
    if (finding === undefined) return undefined;
    if (finding.type === "unknown") return { unknown: finding.reason };
    const { origin: { service, version, host, begunAt }, source } = finding;
    const ageMs = begunAt === undefined
      ? undefined
      : Math.round(this.#dependencies.clock.now() - begunAt);
    return { service, version, host, source, ageMs };
  }

  /** Chooses the service of the request: that of its stream if it resumes one,
   * else one of the route's. There is none if its endpoints accept no call
   * within the objective, by what they have announced. */
  async chooseService(): Promise<ServiceChoice> {
    const { clock, random, pool } = this.#dependencies;
    const { route } = this.#request;
    if (this.#isResumed) return await this.#chooseOriginalService();
    const service = admissions.pickService(route, random);
    const unavailability = unavailabilities.announcedUnavailability(
      pool.endpointsOf(service),
      route.objective,
      { now: clock.now(), random },
    );
    return unavailability === undefined
      ? { type: "service", service }
      : { type: "none", ...unavailability };
  }

  /** Binds the stream to the endpoint whose event is relayed first. Until then
   * a retry may change the version. */
  bind({ identity: { service, version } }: endpoints.Endpoint): void {
    if (this.#version !== undefined) return;
    this.#version = version;
    const { incoming, route } = this.#request;
    if (!route.resumable || version === "") return;
    const stream = this.#identify(incoming.id);
    const lifetime = this.#lifetime;
    this.#dependencies.origins.record({ stream, service, version, lifetime });
  }

  get #isResumed(): boolean {
    const { incoming: { resumeAfter }, route: { kind } } = this.#request;
    return kind === "streaming" && resumeAfter !== undefined;
  }

  get #lifetime(): number {
    return LIFETIME_TIMEOUT_COUNT * this.#request.route.timeout;
  }

  #identify(attempt: string): origins.StreamIdentity {
    const { account, route } = this.#request;
    return { attempt, account: account?.name, route: route.name };
  }

  async #chooseOriginalService(): Promise<ServiceChoice> {
    const finding = await this.#findOrigin();
    if (finding.type === "found") return this.#bindToOrigin(finding.origin);
    const isRetryable = finding.reason === "unreachable";
    const details = isRetryable ? { retryAfter: ORIGIN_RETRY_S } : {};
    return { type: "none", reason: "unknown-origin", details };
  }

  async #findOrigin(): Promise<origins.Finding> {
    const { incoming: { firstAttempt }, route } = this.#request;
    const isNamed = firstAttempt !== undefined && firstAttempt !== "unreadable";
    this.#finding = await this.#dependencies.origins.find({
      stream: isNamed ? this.#identify(firstAttempt.id) : undefined,
      services: route.targets.map(({ service }) => service),
      lifetime: this.#lifetime,
    });
    return this.#finding;
  }

  #bindToOrigin(
    { service, version }: Pick<origins.Origin, "service" | "version">,
  ): ServiceChoice {
    const { clock, random, pool } = this.#dependencies;
    this.#version = version;
    const { targets } = this.#request.route;
    if (!targets.some((target) => target.service === service)) {
      // The route leads to another service now.
      const details = { neededService: service, neededVersion: version };
      return { type: "none", reason: "no-version", details };
    }
    const now = clock.now();
    if (pool.usable(service, now, version).length > 0) {
      return { type: "service", service };
    }
    const known = pool.endpointsOf(service);
    const context = { now, random };
    return {
      type: "none",
      ...unavailabilities.unavailabilityOfVersion(known, version, context),
    };
  }
}
