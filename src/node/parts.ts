/** The parts of a host, wired: transport, table, members, endpoints and the
 * request path.
 * @module */

import * as policies from "../policies/mod.ts";
import * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as membership from "../schema/membership_types.ts";
import type * as registry from "../schema/registry_types.ts";
import type * as shares from "../schema/shares_types.ts";
import * as accounts from "./accounts.ts";
import * as directories from "./directory.ts";
import * as engineOrders from "./engine_orders.ts";
import * as limiting from "./limit_shares.ts";
import type * as foundation from "./host_context.ts";
import * as memberships from "./members.ts";
import type * as options from "./options.ts";
import * as serving from "./serving.ts";
import * as subsetting from "./endpoint_subsets.ts";
import * as tableSource from "./table_source.ts";
import * as transports from "./transport.ts";

/** Milliseconds of an endpoint's lease when the settings name none. */
const LEASE = 1500;

/** Parts that run. */
export interface Parts {
  transport: transports.Transport;
  source: tableSource.TableSource;
  members: memberships.Members;
  directory: directories.Directory;
  orders: engineOrders.EngineOrders;
  limits: limiting.LimitShares;
  path: request.RequestPath;
}

/** Takes a message of one channel. */
type Receiver = (envelope: runtime.Envelope) => void;

/** Wires the parts and starts all but the callers' interface. */
export async function start(
  base: foundation.HostContext,
  options: options.Options,
): Promise<Parts> {
  const { settings, clock, logger } = base;
  const receivers: Partial<Record<runtime.Channel, Receiver>> = {};
  const transport = transports.create({
    ...base,
    key: base.secrets.fleetKey,
    onEnvelope: (envelope) => receivers[envelope.channel]?.(envelope),
  });
  const incarnation = Math.floor(clock.wall());
  const source = await tableSource.create({
    ...base,
    storage: options.storage,
    incarnation,
    transport,
    onFailure: (failure) => fail(failure, base, options),
  });
  const orders = engineOrders.EngineOrders.create({ ...base, source });
  const limits = limiting.LimitShares.create({
    ...base,
    source,
    transport,
    onChange: () => followLimits(),
  });
  const known = accounts.Accounts.create();
  let rows: ReturnType<typeof accounts.rowsOf> = [];
  const path = request.RequestPath.create({
    ...base,
    log: logger,
    accounts: (hash) => known.find(hash),
    endpointToken: base.secrets.endpointToken,
    notices: (notice) => take(notice),
    claims: source.claims,
    observers: [limits.meter],
    policySet: options.policySet ?? decisions(base),
  });
  const subsets = subsetting.EndpointSubsets.create(settings.host);
  const directory = directories.Directory.create({
    ...base,
    host: settings.host,
    lease: settings.limits?.endpointLease ?? LEASE,
    transport,
    onChange: () => followEndpoints(),
  });
  const members = memberships.Members.create({
    ...base,
    transport,
    self: { ...selfOf(settings), incarnation },
    seeds: settings.fleet.hosts.map(({ id }) => id),
    onChange: () => {
      directory.setHosts(members.membership);
      limits.setHosts(members.membership.size);
      if (subsets.setHosts(members.membership.live)) followEndpoints();
    },
  });

  receivers.log = receivers.watch = receivers.control = (envelope) =>
    source.receive(envelope);
  receivers.membership = ({ from, body }) =>
    members.receive(from, body as membership.MembershipMessage);
  receivers.registry = ({ from, body }) =>
    directory.receive(from, body as registry.RegistryMessage);
  receivers.shares = ({ from, body }) =>
    limits.receive(from, body as shares.SharesMessage);

  followTable();
  source.access.watch(followTable);
  await transport.start();
  await source.start();
  members.start();
  directory.start();
  orders.start();
  limits.start();
  followEndpoints();
  return { transport, source, members, directory, orders, limits, path };

  function take(notice: request.Notice): Promise<request.NoticeResult> {
    const detail = serving.reject(settings, notice);
    if (detail === undefined) return directory.applyNotice(notice);
    return Promise.resolve({ type: "rejected", detail });
  }

  function followEndpoints(): void {
    orders.setEngines(directory.serving);
    const known = serving.reachable(settings, directory.serving);
    path.setEndpoints(subsets.choose(known));
  }

  function followTable(): void {
    const view = source.access.view();
    known.update(view);
    // Shares change each second, rows seldom.
    rows = accounts.rowsOf(view);
    limits.setLimits(accounts.limitsOf(rows));
    followLimits();
  }

  function followLimits(): void {
    const share: accounts.ShareOf = (limit) => limits.share(limit);
    path.setPolicies(accounts.policiesOf(rows, share));
  }
}

/** Stops all parts but the request path, which stops by itself. */
export async function stop(parts: Parts): Promise<void> {
  const { transport, source, directory, orders, limits } = parts;
  orders.stop();
  limits.stop();
  directory.stop();
  await source.stop();
  await transport.stop();
}

type Settings = foundation.HostContext["settings"];

function selfOf({ fleet, host }: Settings) {
  const { id, dataCentre, region, address, port } = fleet.hosts.find((each) =>
    each.id === host
  )!;
  return { id, dataCentre, region, address, port };
}

/** The product's decisions, unless a program brings its own. */
function decisions({ settings, random }: foundation.HostContext) {
  const { dataCentre } = selfOf(settings);
  const { inFlight } = settings.limits ?? {};
  return policies.create({ dataCentre, random, inFlight });
}

function fail(
  failure: Error,
  { logger }: foundation.HostContext,
  { onFailure }: options.Options,
): void {
  logger.error({ err: failure }, "Host failed");
  onFailure?.(failure);
}
