/** The daemons of an example fleet as real processes on loopback.
 * @module */

import * as fs from "node:fs";
import * as path from "node:path";
import type * as settings from "../../src/schema/settings_types.ts";
import * as loader from "../../src/settings/mod.ts";
import * as undici from "undici";
import * as daemon from "./daemon.ts";
import * as operator from "./operator.ts";

/** Most milliseconds that a host may take to be ready. */
const READY_TIMEOUT = 20_000;

/** Most milliseconds that a host may take to say whether it is ready. */
const HEALTH_TIMEOUT = 2_000;

/** Most milliseconds that hosts may take to end at the end of a run. */
const STOP_TIMEOUT = 15_000;

/** Milliseconds between two looks. */
const LOOK = 25;

/** Daemons of one settings file. */
export class Fleet {
  readonly settings: settings.Settings;
  readonly #file: string;
  readonly #folder: string;
  readonly #daemons = new Map<string, daemon.Daemon>();
  readonly #loaded = new Map<string, settings.Settings>();

  private constructor(file: string, folder: string) {
    this.settings = loader.load(file);
    this.#file = file;
    this.#folder = folder;
  }

  /** A fleet of the hosts in `file`; output of the daemons goes to `folder`.
   * Data folders of an earlier run are removed. */
  static create(file: string, folder: string): Fleet {
    const fleet = new Fleet(file, folder);
    for (const host of fleet.voters) {
      const { folder: data } = loader.load(file, { host });
      fs.rmSync(data!, { recursive: true, force: true });
    }
    fs.mkdirSync(folder, { recursive: true });
    return fleet;
  }

  /** Ids of all hosts. */
  get hosts(): string[] {
    return this.settings.fleet.hosts.map(({ id }) => id);
  }

  /** Ids of the hosts with a replica of the log. */
  get voters(): string[] {
    const { hosts } = this.settings.fleet;
    return hosts.filter(({ voter }) => voter).map(({ id }) => id);
  }

  /** The daemon of a host. */
  daemon(host: string): daemon.Daemon {
    return this.#daemons.get(host)!;
  }

  /** Base URL towards callers. */
  callersUrl(host: string): string {
    const { listen } = this.#of(host);
    return `http://127.0.0.1:${listen.callers.port}`;
  }

  /** A client of the operators' interface of a host. */
  operator(host: string): operator.Operator {
    const { listen, operators } = this.#of(host);
    const editor = operators!.find(({ role }) => role !== "reader")!;
    const url = `http://127.0.0.1:${listen.operators.port}`;
    return operator.Operator.create(url, loader.readSecret(editor.token));
  }

  /** Starts a host and waits until it is ready. */
  async start(host: string): Promise<void> {
    const started = daemon.Daemon.start({
      settings: this.#file,
      host,
      env: { PATH: process.env.PATH ?? "" },
      log: path.join(this.#folder, `${host}.log`),
    });
    this.#daemons.set(host, started);
    await this.until(() => this.ready(host), `${host} is ready`);
  }

  /** Starts all hosts at once. */
  async startAll(): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.start(host)));
  }

  /** Whether a host takes requests. */
  async ready(host: string): Promise<boolean> {
    try {
      const url = `${this.callersUrl(host)}/health`;
      const { statusCode, body } = await undici.request(url, {
        signal: AbortSignal.timeout(HEALTH_TIMEOUT),
      });
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Kills a host without a word. */
  async kill(host: string): Promise<void> {
    this.daemon(host).signal("SIGKILL");
    await this.daemon(host).ended();
  }

  /** Ends all hosts that still run, by force when they take too long. */
  async stop(): Promise<void> {
    const running = [...this.#daemons.values()].filter((one) => one.running);
    running.forEach((one) => one.signal("SIGTERM"));
    const force = setTimeout(() => {
      running.forEach((one) => one.signal("SIGKILL"));
    }, STOP_TIMEOUT);
    await Promise.all(running.map((one) => one.ended()));
    clearTimeout(force);
  }

  /** Settings of one host; the file is read once. */
  #of(host: string): settings.Settings {
    const loaded = this.#loaded.get(host) ?? loader.load(this.#file, { host });
    this.#loaded.set(host, loaded);
    return loaded;
  }

  /** Waits until `condition` holds. */
  async until(
    condition: () => Promise<boolean>,
    what: string,
  ): Promise<void> {
    const end = performance.now() + READY_TIMEOUT;
    while (!await condition()) {
      if (performance.now() > end) throw new Error(`Never saw that ${what}`);
      await pause(LOOK);
    }
  }
}

/** Resolves after some milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
