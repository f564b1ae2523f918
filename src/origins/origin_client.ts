/** Origins of streams on entry hosts: records the streams that this host begins
 * at control hosts, and finds the origin of a stream that a caller resumes.
 * @module */

import type * as peers from "../peers/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import * as delays from "../runtime/delay.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./origin_codec.ts";
import * as origins from "./origin.ts";
import * as tables from "./origin_table.ts";

/** Control hosts that store each origin. */
const COPY_COUNT = 2;
/** Timeout of calls to a control host: many times the usual duration. */
const CALL_TIMEOUT_MS = 200;
/** Time until an origin is stored again that no control host has stored, and how
 * often that is tried. */
const STORE_RETRY_MS = 500;
const MAX_STORE_RETRIES = 6;
/** Time within which the origin of a stream that has just begun is stored. */
const STORE_TIME_MS = 50;

/** Dependencies of an `OriginClient`. */
export interface OriginClientOptions {
  readonly self: string;
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask">;
  /** The present ones, which store origins. */
  controlHosts(): readonly string[];
  /** All that may have reported endpoints to entry hosts of late. */
  reportingHosts(): readonly string[];
}

/** A stream that this host begins. */
export interface BegunStream {
  readonly stream: origins.StreamIdentity;
  readonly service: string;
  readonly version: string;
  /** Milliseconds for which the caller may resume it after its last attempt. */
  readonly lifetime: number;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** Undefined if the caller does not name it, or not readably. */
  readonly stream?: origins.StreamIdentity;
  /** Services that its route leads to. */
  readonly services: readonly string[];
  /** As in `BegunStream`. */
  readonly lifetime: number;
}

/** How an origin was found. */
export type OriginSource =
  /** This host began the stream or resumed it before. */
  | "self"
  | "control"
  /** Control hosts have reported only one version of its service for as long as
   * streams live. */
  | "history";

/** Why an origin was not found. */
export type UnknownReason =
  | "not-named"
  | "not-recorded"
  | "conflicting"
  /** Control hosts that may have it did not answer. */
  | "unreachable";

/** Result of a search for an origin. */
export type Finding =
  | {
    readonly type: "found";
    readonly source: OriginSource;
    readonly origin:
      & Pick<origins.Origin, "service" | "version">
      & Partial<origins.Origin>;
  }
  | UnknownFinding;

interface UnknownFinding {
  readonly type: "unknown";
  readonly reason: UnknownReason;
}

/** Records and finds the origins of streams. */
export class OriginClient {
  readonly #options: OriginClientOptions;
  readonly #table = tables.OriginTable.create();

  private constructor(options: OriginClientOptions) {
    this.#options = options;
  }

  static create(options: OriginClientOptions): OriginClient {
    return new OriginClient(options);
  }

  /** Records the origin of a stream, here and at control hosts. */
  record({ stream, service, version, lifetime }: BegunStream): void {
    const { self, clock } = this.#options;
    const now = clock.now();
    const key = origins.keyOf(stream);
    const origin = { service, version, host: self, begunAt: now };
    this.#table.expire(now);
    this.#table.put(key, { origin, lifetime }, now);
    void this.#storeCopies(key, { origin, lifetime });
  }

  /** Finds the origin of a stream. */
  async find(resumed: ResumedStream): Promise<Finding> {
    const finding = await this.#findRecorded(resumed.stream);
    const result = finding.type === "unknown"
      ? await this.#findOnlyVersion(resumed, finding)
      : finding;
    const found = result.type === "found" ? result.source : result.reason;
    this.#options.metrics.count("origins.found", 1, { found });
    return result;
  }

  /** State for the state dump. */
  dump(): unknown {
    return this.#table.dump();
  }

  async #findRecorded(
    stream: origins.StreamIdentity | undefined,
  ): Promise<Finding> {
    if (stream === undefined) return { type: "unknown", reason: "not-named" };
    const key = origins.keyOf(stream);
    const owners = this.#rankHosts(key).slice(0, COPY_COUNT);
    const known = this.#findLocally(key) ?? await this.#ask(owners, key);
    if (known.type === "found") return known;
    // The stream may have just begun, or the control hosts may have changed
    // since then.
    await delays.sleep(this.#options.clock, STORE_TIME_MS);
    return this.#findLocally(key) ?? await this.#ask(this.#rankHosts(key), key);
  }

  #findLocally(key: string): Finding | undefined {
    const kept = this.#table.get(key, this.#options.clock.now());
    if (kept === undefined) return undefined;
    if (kept === "conflicting") return { type: "unknown", reason: kept };
    return { type: "found", source: "self", origin: kept.origin };
  }

  /** Finds the version where there is no record: hosts of an earlier release
   * write none, and records can be lost. Entry hosts learn of endpoints from
   * control hosts alone, so a stream can have begun only at a version that one
   * of these has reported. This host's own view proves nothing: what it lacks
   * may be what it has not received yet. */
  async #findOnlyVersion(
    { services, lifetime: period }: ResumedStream,
    unknown: UnknownFinding,
  ): Promise<Finding> {
    const [service] = services;
    if (unknown.reason === "conflicting" || services.length !== 1) {
      return unknown;
    }
    const replies = await Promise.all(
      this.#options.reportingHosts().map((host) =>
        this.#askVersions(host, { type: "versions", service, period })
      ),
    );
    if (replies.includes("unreachable")) {
      return { type: "unknown", reason: "unreachable" };
    }
    const reported = replies.filter((each) => each !== "unreachable");
    const isProven = reported.length > 0 &&
      reported.every((each) => each?.complete === true);
    const versions = new Set(reported.flatMap((each) => each?.versions ?? []));
    const [version] = versions;
    if (!isProven || versions.size !== 1 || version === "") return unknown;
    return { type: "found", source: "history", origin: { service, version } };
  }

  /** Resolves without a reply if the host is of an earlier release. */
  async #askVersions(
    host: string,
    question: schema.VersionsQuestion,
  ): Promise<schema.VersionsReply | "unreachable" | undefined> {
    const { calls, logger } = this.#options;
    try {
      const reply = await calls.ask(host, question, {
        timeout: CALL_TIMEOUT_MS,
      });
      if (isNotServed(reply)) return undefined;
      if (reply.type !== "versions") throw new Error(`reply ${reply.type}`);
      return reply;
    } catch (error) {
      logger.info(
        { host, service: question.service, reason: `${error}` },
        "Control host did not answer a question for versions of a service",
      );
      return "unreachable";
    }
  }

  /** Asks control hosts at once; resolves with the first origin, or once all
   * have answered or failed. */
  async #ask(hosts: readonly string[], key: string): Promise<Finding> {
    return await new Promise((resolve) => {
      let pending = hosts.length;
      let reason: UnknownReason = hosts.length > 0
        ? "not-recorded"
        : "unreachable";
      const settle = (finding: Finding) => {
        if (finding.type === "found") return resolve(finding);
        if (finding.reason === "conflicting") return resolve(finding);
        if (finding.reason === "unreachable") reason = finding.reason;
        if (--pending === 0) resolve({ type: "unknown", reason });
      };
      if (pending === 0) resolve({ type: "unknown", reason });
      hosts.forEach((host) => void this.#askOne(host, key).then(settle));
    });
  }

  async #askOne(host: string, stream: string): Promise<Finding> {
    const { calls, clock, logger } = this.#options;
    try {
      const reply = await calls.ask(host, { type: "origin", stream }, {
        timeout: CALL_TIMEOUT_MS,
      });
      // A host of an earlier release stores no origins.
      if (isNotServed(reply)) return NOT_RECORDED;
      if (reply.type !== "origin") throw new Error(`reply ${reply.type}`);
      if (reply.conflicting) return { type: "unknown", reason: "conflicting" };
      if (reply.origin === undefined) return NOT_RECORDED;
      const now = clock.now();
      const kept = codec.decode(reply.origin, now);
      this.#table.put(stream, kept, now);
      return { type: "found", source: "control", origin: kept.origin };
    } catch (error) {
      logger.info(
        { host, stream, reason: `${error}` },
        "Control host did not answer a question for a stream's origin",
      );
      return { type: "unknown", reason: "unreachable" };
    }
  }

  /** Stores an origin at the first control hosts of its ranking that take it. */
  async #storeCopies(
    stream: string,
    kept: tables.KeptOrigin,
    retries = 0,
  ): Promise<void> {
    const { clock, logger, metrics } = this.#options;
    const hosts = this.#rankHosts(stream);
    const copies = await Promise.all(
      Array.from(
        { length: COPY_COUNT },
        () => this.#storeAtNext(hosts, codec.encode(stream, kept, clock.now())),
      ),
    );
    const stored = copies.filter((isStored) => isStored).length;
    metrics.count("origins.stored", stored);
    if (stored > 0) return;
    if (retries === MAX_STORE_RETRIES) {
      logger.warn({ stream }, "Origin of a stream not stored at any host");
      return;
    }
    await delays.sleep(this.#options.clock, STORE_RETRY_MS);
    await this.#storeCopies(stream, kept, retries + 1);
  }

  /** Takes hosts from the list until one stores the origin. */
  async #storeAtNext(
    hosts: string[],
    origin: schema.StreamOrigin,
  ): Promise<boolean> {
    const { calls, logger } = this.#options;
    for (let host; (host = hosts.shift()) !== undefined;) {
      try {
        const reply = await calls.ask(
          host,
          { type: "origins", origins: [origin] },
          { timeout: CALL_TIMEOUT_MS },
        );
        if (reply.type === "noted") return true;
        if (isNotServed(reply)) continue;
        throw new Error(`reply ${reply.type}`);
      } catch (error) {
        logger.info(
          { host, stream: origin.stream, reason: `${error}` },
          "Control host did not store a stream's origin; trying the next one",
        );
      }
    }
    return false;
  }

  #rankHosts(key: string): string[] {
    return rendezvous.rank(key, this.#options.controlHosts());
  }
}

const NOT_RECORDED: Finding = { type: "unknown", reason: "not-recorded" };

function isNotServed(reply: schema.Reply): boolean {
  return reply.type === "failed" && reply.reason === "not-served";
}
