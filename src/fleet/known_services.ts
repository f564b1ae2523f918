/** Services of the newest configuration that a control host knows.
 * @module */

import * as configurations from "../configuration/mod.ts";
import type * as versions from "../control/versions/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as hostContext from "./host_context.ts";

/** Dependencies. */
export interface KnownServicesOptions {
  readonly logger: telemetry.Logger;
  /** Newest version known to this host; undefined until the disk is read. */
  configuration(): versions.ConfigurationVersion | undefined;
  readonly decodeConfiguration: hostContext.DecodeConfiguration;
}

/** The services; decoded once for each version. */
export class KnownServices {
  readonly #options: KnownServicesOptions;
  #version = 0;
  /** Undefined without a configuration that can be decoded. */
  #names?: ReadonlySet<string>;

  private constructor(options: KnownServicesOptions) {
    this.#options = options;
  }

  static create(options: KnownServicesOptions): KnownServices {
    return new KnownServices(options);
  }

  /** Whether the configuration has a service; true of all without a
   * configuration. */
  has(service: string): boolean {
    const current = this.#options.configuration();
    if (current !== undefined && current.version !== this.#version) {
      this.#version = current.version;
      this.#names = this.#decode(current);
    }
    return this.#names?.has(service) ?? true;
  }

  #decode(
    { version, document }: versions.ConfigurationVersion,
  ): ReadonlySet<string> | undefined {
    const { decodeConfiguration, logger } = this.#options;
    try {
      const text = configurations.decompress(document);
      const { services } = decodeConfiguration(text);
      return new Set(services.map(({ name }) => name));
    } catch (error) {
      logger.error(
        { err: error, version },
        "Configuration cannot be decoded; all services count as known",
      );
      return undefined;
    }
  }
}
