// Configurations in the form of the users' pages.

export const KEY = "k1n9fsqasnmgkcuyj8pj";

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

function base(name) {
  return {
    name,
    healthPath: "/healthz",
    maxConnections: 360,
    protocol: "h1",
    tls: false,
  };
}

/** A plain service, such as a desk. */
export function plainService(name) {
  return { ...base(name), maxConnections: 96 };
}

/** A service of model engines. */
export function modelService(name) {
  return {
    ...base(name),
    engine: {
      slots: 64,
      kvCapacity: 554_685,
      tokenKvBytes: 35_136,
      linkMbps: 740_000,
      moves: true,
      backups: true,
      stride: 2,
      most: 12,
      pinMs: 4000,
      holdMs: 2000,
      handleS: 5,
      models: [{ name: "m" }],
    },
  };
}

/** A service that makes the pieces of stages. */
export function stageService(name, options = {}) {
  return {
    ...base(name),
    pieces: {
      slots: 1,
      queue: 2,
      batch: 6,
      callMs: 150,
      itemMs: 10,
      headroomMb: 27,
      handleS: 4,
      linkMbps: 10_000,
      ...options,
    },
  };
}

export function route(name, { prefix, kind, service, ...options }) {
  return {
    name,
    hostname: "app.example",
    pathPrefix: prefix,
    kind,
    timeoutMs: 3000,
    targetLatencyMs: 386,
    priority: 0,
    service,
    maxAttempts: 1,
    public: false,
    sessionAffinity: false,
    streamResume: false,
    ...options,
  };
}

export function configuration(version, { routes, services }) {
  return {
    version,
    routes,
    services,
    limits: LIMITS,
    tenants: [{ name: "crews", apiKeys: [KEY], priority: 1 }],
  };
}
