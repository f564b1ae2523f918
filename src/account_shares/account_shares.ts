/** Shares of client accounts on entry hosts: admits requests within the limits
 * that the coordinator of their service has set, and reports what accounts ask
 * for and get while a service is under contention.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as admissions from "./admission.ts";
import * as contentions from "./contention.ts";
import * as serviceShares from "./service_shares.ts";

/** Dependencies of `AccountShares`. */
export type AccountSharesOptions = Omit<
  serviceShares.ServiceSharesOptions,
  "service" | "since"
>;

/** The shares of client accounts in all services, on one entry host. Mutable. */
export class AccountShares {
  readonly #options: AccountSharesOptions;
  readonly #services = new Map<string, serviceShares.ServiceShares>();
  /** Beginning of the present interval. */
  #since: number;
  #cancelTick: runtime.Cancel = () => {};

  private constructor(options: AccountSharesOptions) {
    this.#options = options;
    this.#since = options.clock.now();
  }

  /** Begins to count, and to report while a service is under contention. */
  static create(options: AccountSharesOptions): AccountShares {
    const created = new AccountShares(options);
    created.#scheduleTick();
    return created;
  }

  /** Admits or refuses a request. */
  admit(request: admissions.ShareRequest): admissions.ShareAdmission {
    return this.#sharesOf(request.service).admit(request);
  }

  /** Sets the services that control hosts watch. */
  setContended(services: readonly string[]): void {
    services.forEach((service) => this.#sharesOf(service));
    for (const [name, each] of this.#services) {
      each.setContended(services.includes(name));
    }
  }

  stop(): void {
    this.#cancelTick();
    this.#services.forEach((each) => each.stop());
  }

  /** State for the state dump. */
  dump(): unknown {
    return [...this.#services.values()].map((each) => each.dump());
  }

  #sharesOf(service: string): serviceShares.ServiceShares {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const created = serviceShares.ServiceShares.create({
      ...this.#options,
      service,
      since: this.#since,
    });
    this.#services.set(service, created);
    return created;
  }

  #scheduleTick(): void {
    this.#cancelTick = this.#options.clock.after(
      contentions.INTERVAL_MS,
      () => {
        this.#since = this.#options.clock.now();
        this.#services.forEach((each) => each.tick());
        this.#scheduleTick();
      },
    );
  }
}
