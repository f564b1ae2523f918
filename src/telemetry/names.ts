/** The documented list of metrics, in one block for each part of the system. A
 * name that is not declared here does not compile.
 * @module */

/** Type and documentation of a metric. */
export interface Description {
  type: "count" | "time" | "gauge";
  /** Help text; times are in milliseconds. */
  help: string;
}

/** All metrics by name. The help texts are part of the exposition. */
export const metrics = {
  // Requests proxied to services, and the items of their stages.
  "gateway.ended": {
    type: "count",
    help: "Requests, by route and by how they ended: in time, late, or why not",
  },
  "gateway.refused": { type: "count", help: "Refused or failed, by reason" },
  "gateway.errors": {
    type: "count",
    help: "Requests that an error of this host ended, by phase",
  },
  "gateway.duration": { type: "time", help: "From arrival to answer" },
  "gateway.first_event": { type: "time", help: "To a stream's first event" },
  "gateway.in_flight": { type: "gauge", help: "Requests under way" },
  "gateway.unread_bytes": {
    type: "gauge",
    help: "Bytes of replies that callers have not read",
  },
  "requests.body_bytes": {
    type: "gauge",
    help: "Memory of requests and their bodies",
  },
  "gateway.aborted_slow": {
    type: "count",
    help: "Replies aborted, as their callers have not read them",
  },
  "gateway.partial_bytes": {
    type: "gauge",
    help: "Memory of endpoints' answers that are not yet complete",
  },
  "gateway.undelimited": {
    type: "count",
    help: "Answers whose end was that of their connection, by how it ended",
  },
  "gateway.extra_answers": {
    type: "count",
    help: "Times that an endpoint began to send answers that are not due",
  },
  "gateway.misordered": {
    type: "count",
    help: "Calls ended, as an event can't follow the one before",
  },
  "gateway.oversized": {
    type: "count",
    help: "Calls ended for the bytes that their answers held, by bound",
  },
  "gateway.sent": { type: "count", help: "Calls to endpoints, by service" },
  "gateway.no_time": {
    type: "count",
    help:
      "Requests forecast to be late, by route, longest queue and what is scarce",
  },
  "gateway.overflowed": {
    type: "count",
    help: "Requests with stages in another data centre to be in time, by route",
  },
  "gateway.placed": { type: "count", help: "Engines chosen, by whom" },
  "gateway.failed": { type: "count", help: "Failed calls, by cause" },
  "gateway.silences": {
    type: "count",
    help: "Calls that became silent for their idle timeout, by service",
  },
  "gateway.resumptions": {
    type: "count",
    help: "Silent calls that went on, by service",
  },
  "gateway.repeated": { type: "count", help: "Calls that repeat one" },
  "gateway.no_budget": { type: "count", help: "Repeats without a budget" },
  "departures.stored": {
    type: "count",
    help: "Drains and leaves to be stored, by whether the disk took them",
  },
  "origins.found": {
    type: "count",
    help: "Searches for a resumed stream's origin, by where it was found",
  },
  "origins.asked": {
    type: "count",
    help: "Questions for origins of streams, by whether it is known",
  },
  "origins.stored": { type: "count", help: "Copies of origins stored" },
  "origins.known": { type: "gauge", help: "Streams whose origin is known" },
  "origins.evicted": {
    type: "gauge",
    help: "Origins of streams evicted for lack of room",
  },
  "gateway.ejected": {
    type: "count",
    help: "Endpoints ejected after failures, by service and by who saw them",
  },
  "performance.slowness": {
    type: "gauge",
    help:
      "Slowness of endpoints of uneven services, by service and endpoint; 1 once even",
  },
  "performance.uneven": {
    type: "gauge",
    help: "Whether the endpoints of a service differ in speed, by service",
  },
  "gateway.leaving": {
    type: "count",
    help: "Endpoints that announced that they are leaving, by service",
  },
  "gateway.backoff": {
    type: "count",
    help: "Rejected calls with a backoff asked for, by service",
  },
  "gateway.unreadable": {
    type: "count",
    help:
      "Announcements of endpoints that cannot be parsed, by service and kind",
  },
  "gateway.stages": { type: "time", help: "Until all pieces were made" },
  "gateway.left": { type: "count", help: "Requests whose callers left" },
  "relay.connections": {
    type: "count",
    help: "Connections to endpoints, by path; none where no path worked",
  },
  "relay.detours": {
    type: "gauge",
    help: "Endpoints that this host does not reach directly",
  },
  "relay.served": {
    type: "count",
    help: "Tunnels that other hosts asked for, by result",
  },
  "relay.tunnels": { type: "gauge", help: "Tunnels of other hosts" },
  "gateway.brittle": {
    type: "count",
    help: "Endpoints that became brittle or no longer are, by service",
  },
  "slots.asked": {
    type: "count",
    help: "Calls to brittle endpoints asked for, by grant",
  },
  "slots.withheld": {
    type: "count",
    help: "Calls kept from a brittle endpoint",
  },
  "connections.closed": {
    type: "count",
    help: "Connections closed by a limit, by server and reason",
  },
  "gateway.closed_unread": {
    type: "count",
    help: "New connections closed unread",
  },
  "quota.asked": {
    type: "count",
    help: "Requests to limited endpoints asked for, by grant",
  },
  "quota.cold": {
    type: "count",
    help: "Requests to cold endpoints asked for, by grant",
  },
  "quota.withheld": { type: "count", help: "Requests kept from an endpoint" },
  "quota.unreadable": { type: "count", help: "Rate limits that say nothing" },
  "shares.refused": {
    type: "count",
    help: "Requests beyond the share of their account, by service",
  },
  "shares.limited": {
    type: "gauge",
    help: "Accounts that are limited to their share, by service",
  },
  "shares.capacity": {
    type: "gauge",
    help:
      "Cost per second that a service is taken to serve; 0 without contention",
  },
  "quarantine.breaks": { type: "count", help: "Calls broken as by crashes" },
  "quarantine.changes": {
    type: "count",
    help: "Suspected requests that changed, by standing",
  },
  "quarantine.parts": {
    type: "count",
    help: "Prompt parts put in or out of quarantine, by standing",
  },
  "quarantine.evicted": {
    type: "gauge",
    help: "Records of suspects evicted from a full table",
  },
  "quarantine.trials": {
    type: "count",
    help: "Runs of suspected requests asked for, by grant",
  },
  "pieces.calls": { type: "count", help: "Calls for pieces, by service" },
  "pieces.made": { type: "count", help: "Pieces asked for, by service" },
  "pieces.overdue": {
    type: "count",
    help: "Pieces queued again beside a call that was not answered in time",
  },
  "pieces.repeated_answers": {
    type: "count",
    help: "Answers with results that their endpoint had sent before",
  },
  "pieces.failed": { type: "count", help: "Pieces not made, by failure" },
  "control.calls": { type: "count", help: "Calls to this control host" },
  "control.malformed": {
    type: "count",
    help: "Calls that could not be read, by what is wrong",
  },
  "control.unknown_service": {
    type: "count",
    help: "Heartbeats that name a service which the configuration lacks",
  },
  "control.duration": { type: "time", help: "Of calls to a control host" },
  "config.unconfirmed": { type: "count", help: "Reads without a majority" },
  "config.version": { type: "gauge", help: "Version in force here" },
  "config.proof_age": { type: "gauge", help: "Age of what is known, in ms" },
  "evacuation.active": { type: "gauge", help: "Data centres evacuated" },
  "log.omitted": { type: "count", help: "Log lines left out" },

  // Requests from callers.
  "request.arrived": { type: "count", help: "Requests read from callers" },
  "request.completed": { type: "count", help: "Answered whole, by account" },
  "request.on_time": { type: "count", help: "Answered in time, by account" },
  "request.refused": { type: "count", help: "Refused or failed, by problem" },
  "request.abandoned": { type: "count", help: "Left by their callers" },
  "request.dropped": {
    type: "count",
    help: "Sent behind a reply that closes its connection; not run",
  },
  "request.undelivered": {
    type: "count",
    help: "Answers without an end refused, as a request is behind them",
  },
  "request.bad": { type: "count", help: "Bad input, nothing dispatched" },
  "request.unauthorized": { type: "count", help: "Wrong or missing tokens" },
  "request.duration": { type: "time", help: "From arrival to answer" },
  "request.slack": { type: "time", help: "Left of the deadline at answer" },
  "request.queued": { type: "gauge", help: "Requests that wait" },
  "request.in_flight": { type: "gauge", help: "Requests in this host" },

  // Calls to endpoints.
  "call.started": { type: "count", help: "Calls sent, by service" },
  "call.answered": { type: "count", help: "Calls answered, by service" },
  "call.failed": { type: "count", help: "Calls failed, by reason" },
  "call.cancelled": { type: "count", help: "Calls cancelled by this host" },
  "call.retried": { type: "count", help: "Calls that repeat a failed one" },
  "call.hedged": { type: "count", help: "Calls raced against a slow one" },
  "call.hung": { type: "count", help: "Calls given up as hung, by service" },
  "call.mismatched": { type: "count", help: "Answers dropped as not ours" },
  "call.silent": { type: "count", help: "Connections given up as silent" },
  "call.duration": { type: "time", help: "From sending to the last byte" },
  "call.first_token": { type: "time", help: "From sending to first token" },

  // Resource usage by stage.
  "cost.engine_time": {
    type: "count",
    help: "Milliseconds of endpoint slots, by stage and account",
  },
  "cost.input_tokens": { type: "count", help: "Tokens read, by service" },
  "cost.output_tokens": { type: "count", help: "Tokens written, by service" },
  "cost.cached_tokens": { type: "count", help: "Tokens found in a cache" },
  "cost.wasted_time": {
    type: "count",
    help: "Milliseconds of slots whose results were not used, by fate",
  },
  "cost.wasted_calls": {
    type: "count",
    help: "Calls whose results were not used, by fate",
  },

  // Endpoints.
  "endpoint.announced": { type: "count", help: "First announcements" },
  "endpoint.renewed": { type: "count", help: "Renewed leases" },
  "endpoint.left": { type: "count", help: "Endpoints that left by themselves" },
  "endpoint.expired": { type: "count", help: "Leases that ran out" },
  "endpoint.rejected": { type: "count", help: "Announcements not taken" },
  "endpoint.known": { type: "gauge", help: "Endpoints with a lease" },
  "endpoint.subscribed": { type: "count", help: "Event streams opened" },
  "endpoint.event_malformed": { type: "count", help: "Events not understood" },
  "endpoint.event_oversized": {
    type: "count",
    help: "Event streams closed, as an event had no end",
  },
  "endpoint.cache_gap": { type: "count", help: "Gaps in cache events" },

  // Operator calls and the table.
  "operator.call": { type: "count", help: "Operators' calls" },
  "operator.denied": { type: "count", help: "Wrong operator tokens" },
  "table.edited": { type: "count", help: "Edits accepted here" },
  "table.conflict": { type: "count", help: "Edits that lost a race" },
  "table.refused": { type: "count", help: "Edits that are not allowed" },
  "table.unavailable": { type: "count", help: "Edits without a quorum" },
  "table.revision": { type: "gauge", help: "Revision in force here" },

  // Replicated log.
  "log.leading": { type: "gauge", help: "1 while this host leads" },
  "log.appended": { type: "count", help: "Entries proposed here" },

  // Communication and membership between hosts.
  "peer.sent": { type: "count", help: "Envelopes sent, by channel" },
  "peer.received": { type: "count", help: "Envelopes received, by channel" },
  "peer.messages_sent": {
    type: "count",
    help: "Messages of calls between hosts sent, by type",
  },
  "peer.messages_received": {
    type: "count",
    help: "Messages of calls between hosts received, by type",
  },
  "peer.frames_sent": {
    type: "count",
    help: "Frames with messages sent to other hosts",
  },
  "peer.acks_sent": {
    type: "count",
    help: "Frames sent to other hosts that only acknowledge frames",
  },
  "peer.left_out": {
    type: "count",
    help: "Entries of messages that could not be read, by list",
  },
  "peer.dropped": { type: "count", help: "Envelopes dropped, by reason" },
  "peer.unmatched_replies": {
    type: "count",
    help: "Replies to no pending question of this process, by type",
  },
  "peer.bytes_sent": { type: "count", help: "Bytes sent to other hosts" },
  "peer.connected": { type: "count", help: "Connections made" },
  "peer.refused": { type: "count", help: "Connections without the fleet key" },
  "peer.silent": { type: "count", help: "Connections closed as silent" },
  "member.alive": { type: "gauge", help: "Hosts believed alive" },
  "member.failed": { type: "count", help: "Hosts declared failed" },

  // This process.
  "node.dumps": { type: "count", help: "State dumps written" },
  "node.draining": { type: "gauge", help: "1 while this host drains" },
} as const satisfies Record<string, Description>;

/** Name of any metric. */
export type Name = keyof typeof metrics;

/** Names of the metrics of one type. */
type NamesOfType<T extends Description["type"]> = {
  [N in Name]: (typeof metrics)[N]["type"] extends T ? N : never;
}[Name];

/** Name of a counter. */
export type CountName = NamesOfType<"count">;

/** Name of a duration metric. */
export type TimeName = NamesOfType<"time">;

/** Name of a gauge. */
export type GaugeName = NamesOfType<"gauge">;
