/** Types generated from schema/fleet.yaml.
 * @module */

/**
 * Messages between hosts that find each other by seeds: questions that are
 * answered, and notices that are not. Fields that a host does not know are left
 * alone: hosts of two releases run beside each other during an upgrade.
 *
 */
export type FleetMessage = Ask | Answer | Working | Cast;
export type Count = number;
export type Question =
  | ConfirmQuestion
  | ReplaceQuestion
  | EvacuateQuestion
  | SyncQuestion
  | NoteQuestion
  | MakeQuestion
  | BookQuestion
  | PlaceQuestion
  | SuspectsQuestion
  | LeaseQuestion
  | QuotaQuestion
  | WarmupQuestion
  | SlotQuestion
  | OriginsQuestion
  | OriginQuestion
  | VersionsQuestion
  | SharesQuestion;
export type Name = string;
/**
 * One incarnation of an engine.
 */
export type Engine = string;
/**
 * Slowness of endpoints that the asker observed since its last sync;
 * absent without any.
 *
 *
 * @maxItems 1024
 */
export type SlownessReports = SlownessReport[];
/**
 * Part of a service's endpoints that one batcher schedules.
 */
export type Cell = string;
/**
 * Digest of the account, the route and the first attempt.
 */
export type Stream = string;
export type Reply =
  | FailedReply
  | ConfirmedReply
  | ReplacedReply
  | EvacuatedReply
  | SyncedReply
  | NotedReply
  | MadeReply
  | BookedReply
  | PlacedReply
  | LeaseReply
  | QuotaReply
  | OriginReply
  | VersionsReply
  | SharesReply;
/**
 * Of each data centre that ever was evacuated.
 */
export type Evacuations = Evacuation[];
/**
 * Recently changed estimates of all hosts together; absent without any.
 *
 *
 * @maxItems 1024
 */
export type SlownessReports1 = SlownessReport[];
/**
 * Services under contention; absent without any.
 */
export type Contended = Name[];
export type Notice =
  HelloNotice | ReleaseNotice | DropNotice | UseNotice | SuspectsNotice | LeaseOverNotice | LimitsNotice | SlotsNotice;
/**
 * Observations that entry hosts have reported to the sender since its
 * last hello to the receiver; absent without any.
 *
 *
 * @maxItems 1024
 */
export type SlownessReports2 = SlownessReport[];

export interface Ask {
  type: "ask";
  id: Count;
  body: Question;
}
/**
 * Asks a leader for what is in force.
 */
export interface ConfirmQuestion {
  type: "confirm";
  /**
   * Newest that the asker holds.
   */
  version?: number;
}
/**
 * Orders a version of the configuration.
 */
export interface ReplaceQuestion {
  type: "replace";
  version: Count;
  /**
   * The whole configuration, packed.
   */
  document: string;
  /**
   * Short mark of its text.
   */
  digest: string;
}
/**
 * Orders the begin or the end of an evacuation.
 */
export interface EvacuateQuestion {
  type: "evacuate";
  dataCentre: Name;
  active: boolean;
  /**
   * Revision that the order follows. One that comes late, after another
   * order, has no effect.
   *
   */
  after: number;
  orderedAt: number;
}
/**
 * Asks for what is new, and for a proof that nothing else is.
 */
export interface SyncQuestion {
  type: "sync";
  version: Count;
  /**
   * Of the roster that `revision` counts; empty without one.
   */
  epoch: string;
  revision: Count;
  /**
   * Of the hosts that the asker knows; empty without any.
   */
  mark: string;
  host: EntryHost;
  /**
   * Of the suspects that the asker knows; of `epoch`.
   */
  suspectRevision?: number;
  /**
   * Orders of evacuations that the asker holds, in all.
   */
  evacuationOrders?: number;
  slowness?: SlownessReports;
}
/**
 * A host that takes requests.
 */
export interface EntryHost {
  host: Name;
  dataCentre: Name;
  ready: boolean;
  /**
   * Its processor, in cores; absent if unknown, or of an earlier release.
   *
   */
  capacity?: number;
  /**
   * Milliseconds since it was last heard.
   */
  age: number;
}
/**
 * Time that calls took at an endpoint relative to the expectation for its
 * service.
 *
 */
export interface SlownessReport {
  endpoint: Engine;
  /**
   * Geometric mean of the observed ratios.
   */
  ratio: number;
  /**
   * Number of observations.
   */
  count: number;
}
/**
 * Tells another core host of endpoints.
 */
export interface NoteQuestion {
  type: "note";
  sightings: Sighting[];
}
/**
 * What an endpoint last said of itself.
 */
export interface Sighting {
  id: Name;
  /**
   * Unix milliseconds of its start; absent where it does not say.
   *
   */
  born?: number;
  service: Name;
  address: Name;
  dataCentre: Name;
  version: string;
  slots: number;
  state: "ready" | "draining" | "gone";
  sequence: number;
  /**
   * Milliseconds since it was last heard.
   */
  age: number;
  /**
   * Milliseconds for which it is still slow after its start.
   */
  cold?: number;
  /**
   * Whether its heartbeats have stopped; for entry hosts.
   */
  silent?: boolean;
}
/**
 * Asks the batcher of a cell for pieces of one request.
 */
export interface MakeQuestion {
  type: "make";
  service: Name;
  cell: Cell;
  request: Name;
  stage: Count;
  pieces: Count[];
  key?: string;
  inputs?: string[];
  /**
   * About how large a result is.
   */
  bytes: number;
  /**
   * Bytes that cross to another data centre for each piece that is made away from `dataCentre`.
   */
  moved?: number;
  /**
   * Milliseconds after which the results are of no use.
   */
  remaining: number;
  /**
   * Milliseconds within which they are wanted.
   */
  slack?: number;
  rank: number;
  dataCentre?: string;
}
/**
 * Announces pieces that will be asked for, and asks how long they would
 * wait.
 *
 */
export interface BookQuestion {
  type: "book";
  service: Name;
  cell: Cell;
  request: Name;
  stage: Count;
  pieces: Count;
  slack: number;
  rank: number;
  /**
   * Size of a piece's result; absent from hosts of earlier releases.
   */
  bytes?: number;
}
/**
 * Asks the owner of a partition of engines which of them a prompt goes to.
 *
 */
export interface PlaceQuestion {
  type: "place";
  service: Name;
  partition: Cell;
  prompt: Prompt;
  /**
   * One incarnation of an engine.
   */
  planned?: string;
  /**
   * Software version that the engine must have.
   */
  version?: string;
  /**
   * Engines that were called for the request before.
   */
  tried: Engine[];
  /**
   * Whether the prompt goes there now; else it is a forecast.
   */
  sent: boolean;
}
export interface Prompt {
  model: string;
  inputTokens: number;
  outputTokens: number;
  parts: PromptPart[];
}
export interface PromptPart {
  id: Name;
  tokens: number;
}
/**
 * Tells a core host of requests that may crash endpoints.
 */
export interface SuspectsQuestion {
  type: "suspects";
  suspects: Suspect[];
}
/**
 * What is known of a request, or a prompt part, that may crash endpoints.
 */
export interface Suspect {
  fingerprint: string;
  /**
   * @maxItems 64
   */
  crashes: Crash[];
  acquittals: Count;
  trials: Count;
  /**
   * Most whole answers on the part that a host has seen.
   */
  answers?: number;
}
export interface Crash {
  endpoint: Engine;
  /**
   * Milliseconds since the call broke.
   */
  age: number;
  /**
   * Whether the endpoint was heard again since.
   */
  refuted?: boolean;
}
/**
 * Asks for a lease to run a suspected request: it runs at one endpoint of the
 * fleet at a time, and no other suspected one runs there.
 *
 */
export interface LeaseQuestion {
  type: "lease";
  fingerprint: string;
  endpoint: Engine;
  /**
   * Milliseconds after which its run has ended.
   */
  remaining: number;
}
/**
 * Asks for a grant to send one request to a limited endpoint.
 */
export interface QuotaQuestion {
  type: "quota";
  limit: EndpointLimit;
}
/**
 * A rate limit that an endpoint has named in its answers.
 */
export interface EndpointLimit {
  endpoint: Engine;
  /**
   * Requests a second from all hosts together.
   */
  limit: number;
  /**
   * Milliseconds since an answer named it.
   */
  age: number;
  /**
   * Milliseconds since answers name none any more.
   */
  ended?: number;
}
/**
 * Asks for a grant to send one request to a cold endpoint.
 */
export interface WarmupQuestion {
  type: "warmup";
  endpoint: Engine;
  /**
   * Requests a second from all hosts together.
   */
  rate: number;
}
/**
 * Asks for a grant to send one request to a brittle endpoint.
 */
export interface SlotQuestion {
  type: "slot";
  endpoint: Engine;
  /**
   * Requests that the endpoint runs at once.
   */
  slots: number;
  /**
   * The asker's requests there, granted ones included.
   */
  inFlight: number;
}
/**
 * Asks a control host to store origins of streams.
 */
export interface OriginsQuestion {
  type: "origins";
  origins: StreamOrigin[];
}
/**
 * The service and the software version at which a stream began.
 */
export interface StreamOrigin {
  stream: Stream;
  service: Name;
  version: Name;
  /**
   * Host that relayed its first event.
   */
  host: string;
  /**
   * Milliseconds for which it is kept after its last use.
   */
  lifetime: number;
  /**
   * Milliseconds since the first event.
   */
  age: number;
}
/**
 * Asks a control host for the origin of a stream.
 */
export interface OriginQuestion {
  type: "origin";
  stream: Stream;
}
/**
 * Asks a control host which software versions of a service it has reported.
 *
 */
export interface VersionsQuestion {
  type: "versions";
  service: Name;
  /**
   * Milliseconds up to now that count.
   */
  period: number;
}
/**
 * Reports what client accounts asked of a service and asks for their shares.
 * Costs are sums over `span`.
 *
 */
export interface SharesQuestion {
  type: "shares";
  service: Name;
  /**
   * Milliseconds that the sums cover.
   */
  span: number;
  /**
   * Cost of requests that no share refused.
   */
  admitted: number;
  /**
   * Cost of those that ended late or for lack of capacity.
   */
  denied: number;
  accounts: AccountUse[];
}
export interface AccountUse {
  /**
   * Empty for requests without an account.
   */
  account: string;
  rank: Count;
  offered: number;
  served: number;
}
export interface Answer {
  type: "answer";
  id: Count;
  body: Reply;
}
export interface FailedReply {
  type: "failed";
  reason: "not-leader" | "no-quorum" | "unknown" | "stopped" | "not-served" | "unreachable";
  leader?: string;
}
export interface ConfirmedReply {
  type: "confirmed";
  /**
   * Of the log; a replica that has it applied is up to date.
   */
  index: number;
  /**
   * In force; told to an asker that names its own.
   */
  version?: number;
  /**
   * The configuration, packed, if the asker has an older one.
   */
  document?: string;
  /**
   * Short mark of its text.
   */
  digest?: string;
  evacuations?: Evacuations;
}
/**
 * The last order about the evacuation of a data centre: to the endpoints of
 * one that is evacuated nothing new goes.
 *
 */
export interface Evacuation {
  dataCentre: Name;
  /**
   * Number of orders about this data centre that had effect.
   */
  revision: number;
  /**
   * Whether it is evacuated; else that is over.
   */
  active: boolean;
  /**
   * Unix milliseconds by the clock of the host that took the order.
   *
   */
  orderedAt: number;
}
export interface ReplacedReply {
  type: "replaced";
  verdict: "accepted" | "known" | "older" | "conflict";
  version: Count;
}
export interface EvacuatedReply {
  type: "evacuated";
  verdict: "accepted" | "known" | "outdated";
  /**
   * In force about this data centre.
   */
  revision: number;
}
export interface SyncedReply {
  type: "synced";
  /**
   * Whether a majority says that no version is newer.
   */
  confirmed: boolean;
  version: Count;
  /**
   * The configuration, packed, if the asker has an older one.
   */
  document?: string;
  epoch: string;
  revision: Count;
  sightings: Sighting[];
  /**
   * Of the hosts that take requests now.
   */
  mark: string;
  /**
   * These, if the asker knows others.
   */
  hosts?: EntryHost[];
  cores: Name[];
  evacuations?: Evacuations;
  suspectRevision?: Count;
  /**
   * Those that have changed since the asker's revision.
   */
  suspects?: Suspect[];
  /**
   * Rate limits that endpoints name; absent without any.
   */
  limits?: EndpointLimit[];
  slowness?: SlownessReports1;
  contended?: Contended;
}
export interface NotedReply {
  type: "noted";
}
/**
 * Results, and the question that they answer, which hosts of earlier
 * releases leave out.
 *
 */
export interface MadeReply {
  type: "made";
  service?: Name;
  request?: Name;
  stage?: Count;
  results: Result[];
}
/**
 * A result, or why there is none.
 */
export interface Result {
  piece: Count;
  handle?: string;
  failure?: "late" | "gone" | "room" | "error" | "unreachable";
}
export interface BookedReply {
  type: "booked";
  /**
   * Milliseconds until they would be begun.
   */
  wait: number;
  /**
   * Milliseconds that calls take there lately.
   */
  work: number;
  /**
   * Milliseconds since a call was last measured; absent before the first.
   */
  workAge?: number;
  /**
   * Pieces that `wait` counts before them.
   */
  ahead?: number;
  /**
   * Pieces that `wait` expects to be begun in a second.
   */
  rate?: number;
  /**
   * What the pieces wait for; absent where endpoints keep up.
   */
  scarce?: "calls" | "memory" | "placement";
}
export interface PlacedReply {
  type: "placed";
  engine: Engine;
  /**
   * One incarnation of an engine.
   */
  source?: string;
  /**
   * Prompt tokens that it must read.
   */
  read: number;
  fetched: number;
  /**
   * Milliseconds that the fetch takes.
   */
  fetchTime: number;
  /**
   * Milliseconds until its first event is expected.
   */
  firstEvent: number;
  work: EngineWork;
  /**
   * Slowness of the engine; absent while its service is even.
   */
  slowness?: number;
}
/**
 * What an engine has to do before a first event.
 */
export interface EngineWork {
  tokens: number;
  streams: number;
}
export interface LeaseReply {
  type: "lease";
  granted: boolean;
  /**
   * Whether another suspected request runs at the endpoint.
   */
  taken?: boolean;
  /**
   * Milliseconds after which to ask again, if it is refused.
   */
  wait: number;
}
export interface QuotaReply {
  type: "quota";
  granted: boolean;
  /**
   * Milliseconds until there may be a grant.
   */
  wait: number;
}
export interface OriginReply {
  type: "origin";
  origin?: StreamOrigin1;
  /**
   * Whether different origins were recorded for the stream.
   */
  conflicting?: boolean;
}
/**
 * The service and the software version at which a stream began.
 */
export interface StreamOrigin1 {
  stream: Stream;
  service: Name;
  version: Name;
  /**
   * Host that relayed its first event.
   */
  host: string;
  /**
   * Milliseconds for which it is kept after its last use.
   */
  lifetime: number;
  /**
   * Milliseconds since the first event.
   */
  age: number;
}
export interface VersionsReply {
  type: "versions";
  /**
   * Without order; an empty one stands for an unknown version.
   */
  versions: string[];
  /**
   * Whether the host has observed endpoints for the period.
   */
  complete: boolean;
}
export interface SharesReply {
  type: "shares";
  /**
   * Whether the service is or recently was under contention.
   */
  watched: boolean;
  /**
   * Whether the replier has heard enough hosts to decide; a reply without a
   * capacity then says that there is no contention.
   *
   */
  decided?: boolean;
  /**
   * Cost a second that the service is taken to serve.
   */
  capacity?: number;
  /**
   * Limits for the asker; accounts without one are not limited.
   */
  limits: AccountLimit[];
}
export interface AccountLimit {
  account: string;
  rank: Count;
  /**
   * Cost a second.
   */
  rate: number;
}
/**
 * Questions that this host has and has not answered yet.
 */
export interface Working {
  type: "working";
  ids: Count[];
}
export interface Cast {
  type: "cast";
  body: Notice;
}
/**
 * A core host is there, and knows these.
 */
export interface HelloNotice {
  type: "hello";
  dataCentre: Name;
  cores: Name[];
  hosts: EntryHost[];
  leadership?: Leadership;
  /**
   * Rate limits that endpoints name; absent without any.
   */
  limits?: EndpointLimit[];
  slowness?: SlownessReports2;
  contended?: Contended;
}
/**
 * Absent where the sender's replica hears no leader.
 */
export interface Leadership {
  term: Count;
  leader: Name;
  voters: Name[];
}
/**
 * Results that nobody needs any more.
 */
export interface ReleaseNotice {
  type: "release";
  service: Name;
  cell: Cell;
  handles: string[];
}
/**
 * A request that nobody waits for any more.
 */
export interface DropNotice {
  type: "drop";
  service: Name;
  cell: Cell;
  request: Name;
}
/**
 * What a host has engines do now, of those where it changed.
 */
export interface UseNotice {
  type: "use";
  uses: EngineUse[];
}
export interface EngineUse {
  /**
   * One incarnation of it; what was said of another is ignored.
   */
  engine: string;
  /**
   * Prompt tokens sent there whose first event has not come.
   */
  tokens: number;
  /**
   * Requests under way there.
   */
  streams: number;
  /**
   * Shared parts of prompts that were sent there since.
   */
  read: PromptPart[][];
  /**
   * First events since, of prompts that another host placed.
   */
  firsts?: FirstEvent[];
  /**
   * How calls ended since, of prompts that another host placed.
   */
  verdicts?: ("good" | "bad" | "full")[];
  /**
   * Mean gaps between events of streams that ended since, of prompts that
   * another host placed, relative to the mean gap of the service.
   *
   */
  gaps?: number[];
}
export interface FirstEvent {
  work: EngineWork;
  /**
   * Milliseconds from the call.
   */
  took: number;
  /**
   * Whether the engine fetched parts of the prompt from another one's
   * cache; absent if not.
   *
   */
  fetched?: boolean;
}
/**
 * A core host knows these requests that may crash endpoints.
 */
export interface SuspectsNotice {
  type: "suspects";
  suspects: Suspect[];
}
/**
 * A run under a lease has ended without a crash or an answer.
 */
export interface LeaseOverNotice {
  type: "lease-over";
  fingerprint: string;
  /**
   * Whether no endpoint ran the request, so it was no trial.
   */
  unused?: boolean;
}
/**
 * Tells a core host of rate limits that endpoints name.
 */
export interface LimitsNotice {
  type: "limits";
  limits: EndpointLimit[];
}
/**
 * Tells a core host of this host's requests at an endpoint.
 */
export interface SlotsNotice {
  type: "slots";
  endpoint: Engine;
  inFlight: number;
}
