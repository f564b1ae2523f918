/** Creates and connects the parts of a host: transport, table, members,
 * endpoints, engine orders, limit shares and the request path.
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
import * as limitShares from "./limit_shares.ts";
import type * as hostContext from "./host_context.ts";
import * as memberships from "./members.ts";
import type * as options from "./options.ts";
import * as serving from "./serving.ts";
import * as endpointSubsets from "./endpoint_subsets.ts";
import * as tableSource from "./table_source.ts";
import * as transports from "./transport.ts";

/** Duration of an endpoint's lease when the settings give none. */
const DEFAULT_LEASE_MS = 1500;

/** The running parts of a host. */
export interface Parts {
  transport: transports.Transport;
  source: tableSource.TableSource;
  members: memberships.Members;
  directory: directories.Directory;
  orders: engineOrders.EngineOrders;
  limits: limitShares.LimitShares;
  path: request.RequestPath;
}

/** Handles the messages of one channel. */
type Receiver = (envelope: runtime.Envelope) => void;

/** Connects the parts and starts all of them except the callers' interface. */
export async function start(
  context: hostContext.HostContext,
  options: options.Options,
): Promise<Parts> {
  const { settings, clock, logger } = context;
  const receivers: Partial<Record<runtime.Channel, Receiver>> = {};
  const transport = transports.create({
    ...context,
    key: context.secrets.fleetKey,
    onEnvelope: (envelope) => receivers[envelope.channel]?.(envelope),
  });
  const incarnation = Math.floor(clock.wall());
  const source = await tableSource.create({
    ...context,
    storage: options.storage,
    incarnation,
    transport,
    onFailure: (failure) => fail(failure, context, options),
  });
  const orders = engineOrders.EngineOrders.create({ ...context, source });
  const limits = limitShares.LimitShares.create({
    ...context,
    source,
    transport,
    onChange: () => updatePolicies(),
  });
  const accountIndex = accounts.Accounts.create();
  let rows: ReturnType<typeof accounts.rowsOf> = [];
  const path = request.RequestPath.create({
    ...context,
    log: logger,
    accounts: (hash) => accountIndex.find(hash),
    endpointToken: context.secrets.endpointToken,
    notices: (notice) => applyNotice(notice),
    claims: source.claims,
    observers: [limits.meter],
    policySet: options.policySet ?? defaultPolicies(context),
  });
  const subsets = endpointSubsets.EndpointSubsets.create(settings.host);
  const directory = directories.Directory.create({
    ...context,
    host: settings.host,
    lease: settings.limits?.endpointLease ?? DEFAULT_LEASE_MS,
    transport,
    onChange: () => updateEndpoints(),
  });
  const members = memberships.Members.create({
    ...context,
    transport,
    self: { ...selfOf(settings), incarnation },
    seeds: settings.fleet.hosts.map(({ id }) => id),
    onChange: () => {
      directory.setHosts(members.membership);
      limits.setHosts(members.membership.size);
      if (subsets.setHosts(members.membership.live)) updateEndpoints();
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

  updateTable();
  source.access.watch(updateTable);
  await transport.start();
  await source.start();
  members.start();
  directory.start();
  orders.start();
  limits.start();
  updateEndpoints();
  return { transport, source, members, directory, orders, limits, path };

  function applyNotice(notice: request.Notice): Promise<request.NoticeResult> {
    const detail = serving.reject(settings, notice);
    if (detail === undefined) return directory.applyNotice(notice);
    return Promise.resolve({ type: "rejected", detail });
  }

  function updateEndpoints(): void {
    orders.setEngines(directory.serving);
    const reachable = serving.reachable(settings, directory.serving);
    path.setEndpoints(subsets.choose(reachable));
  }

  function updateTable(): void {
    const view = source.access.view();
    accountIndex.update(view);
    // Kept for `updatePolicies`: shares change every second, rows rarely.
    rows = accounts.rowsOf(view);
    limits.setLimits(accounts.limitsOf(rows));
    updatePolicies();
  }

  function updatePolicies(): void {
    const share: accounts.ShareOf = (limit) => limits.share(limit);
    path.setPolicies(accounts.policiesOf(rows, share));
  }
}

/** Stops all parts except the request path, which the node stops first. */
export async function stop(parts: Parts): Promise<void> {
  const { transport, source, directory, orders, limits } = parts;
  orders.stop();
  limits.stop();
  directory.stop();
  await source.stop();
  await transport.stop();
}

type Settings = hostContext.HostContext["settings"];

function selfOf({ fleet, host }: Settings) {
  const { id, dataCentre, region, address, port } = fleet.hosts.find((each) =>
    each.id === host
  )!;
  return { id, dataCentre, region, address, port };
}

/** Policies used when the options give none. */
function defaultPolicies({ settings, random }: hostContext.HostContext) {
  const { dataCentre } = selfOf(settings);
  const { inFlight } = settings.limits ?? {};
  return policies.create({ dataCentre, random, inFlight });
}

function fail(
  failure: Error,
  { logger }: hostContext.HostContext,
  { onFailure }: options.Options,
): void {
  logger.error({ err: failure }, "Host failed");
  onFailure?.(failure);
}
