/** Liveness of the control hosts, and the choice of the log's voters.
 * @module */

/** Time without a hello message after which a host counts as lost: three hello
 * intervals and the delay of a busy host. */
const LIVENESS_TIMEOUT_MS = 1500;

/** A control host, and when its last hello message arrived. */
export interface ControlMember {
  readonly host: string;
  readonly dataCentre: string;
  /** Undefined if its process has not stated it. */
  readonly incarnation?: string;
  readonly heard: number;
}

/** Control hosts as one of them sees them; mutable. */
export class ControlMembers {
  readonly #self: ControlMember;
  readonly #known = new Set<string>();
  readonly #heard = new Map<string, ControlMember>();
  readonly #started: number;

  private constructor(self: ControlMember, started: number) {
    this.#self = self;
    this.#started = started;
  }

  /** Creates a view where this host is live and the hosts `known` are only
   * addresses to contact. */
  static create(
    self: Pick<ControlMember, "host" | "dataCentre">,
    { known, now }: { known: readonly string[]; now: number },
  ): ControlMembers {
    const members = new ControlMembers({ ...self, heard: Infinity }, now);
    members.addKnown(known);
    return members;
  }

  /** Adds hosts that may exist, live or not. */
  addKnown(hosts: readonly string[]): void {
    for (const host of hosts) {
      if (host !== this.#self.host) this.#known.add(host);
    }
  }

  /** Records a hello message. Returns whether its process is new: the host was
   * not live before, or its incarnation has changed. */
  recordHello(member: ControlMember): boolean {
    const { host, incarnation, heard } = member;
    const known = this.#heard.get(host);
    this.addKnown([host]);
    this.#heard.set(host, member);
    return known === undefined || known.incarnation !== incarnation ||
      heard - known.heard > LIVENESS_TIMEOUT_MS;
  }

  /** Whether `hosts` contain a majority of the voters or, while no voters are
   * known, of all hosts ever known. The live hosts are no basis for a majority:
   * on a partitioned host they are few. */
  isMajority(hosts: readonly string[], voters: readonly string[]): boolean {
    const all = voters.length > 0 ? voters : [this.#self.host, ...this.#known];
    const present = all.filter((host) => hosts.includes(host));
    return 2 * present.length > all.length;
  }

  /** All known hosts except this one, live or not. */
  get others(): string[] {
    return [...this.#known];
  }

  /** Live hosts, including this one. */
  live(now: number): ControlMember[] {
    const others = [...this.#heard.values()];
    return [
      this.#self,
      ...others.filter(({ heard }) => now - heard <= LIVENESS_TIMEOUT_MS),
    ];
  }

  /** Hosts to choose voters from: live hosts, and shortly after the start of
   * this host also voters whose hello messages may not have arrived yet. */
  candidates(voters: readonly string[], now: number): ControlMember[] {
    const live = this.live(now);
    if (now - this.#started > LIVENESS_TIMEOUT_MS) return live;
    const unheard = voters.filter((host) =>
      !live.some((one) => one.host === host)
    );
    const placeholder = { dataCentre: "", heard: this.#started };
    return [...live, ...unheard.map((host) => ({ host, ...placeholder }))];
  }
}

/** Inputs of `chooseVoters`. */
export interface VoterSelection {
  /** Leader of the log, which remains a voter. */
  readonly leader: string;
  readonly live: readonly Pick<ControlMember, "host" | "dataCentre">[];
  /** Hosts that are voters at present. */
  readonly voters: readonly string[];
  /** Upper limit of the number of voters; odd. */
  readonly maxVoters: number;
}

/** Chooses the hosts that should be voters: the leader, then live voters, then
 * other live hosts, each time from the data centre with the fewest chosen
 * hosts, up to an odd number. A lost voter remains until a live host can
 * replace it. */
export function chooseVoters(
  { leader, live, voters, maxVoters }: VoterSelection,
): string[] {
  const known = new Set([...voters, ...live.map(({ host }) => host)]);
  const voterCount = Math.min(maxVoters, largestOddUpTo(known.size));
  const chosen: Candidate[] = [];
  const addBest = (candidates: readonly Candidate[]) => {
    const remaining = [...candidates];
    while (chosen.length < voterCount && remaining.length > 0) {
      const next = remaining.reduce((best, candidate) =>
        compareCandidates(candidate, best, chosen) < 0 ? candidate : best
      );
      remaining.splice(remaining.indexOf(next), 1);
      chosen.push(next);
    }
  };
  addBest(live.filter(({ host }) => host === leader));
  addBest(
    live.filter(({ host }) => host !== leader && voters.includes(host)),
  );
  addBest(live.filter(({ host }) => !voters.includes(host)));
  const lost = voters.filter((host) => !live.some((one) => one.host === host));
  const keptLost = lost.sort().slice(
    0,
    Math.max(0, voterCount - chosen.length),
  );
  return [...chosen.map(({ host }) => host), ...keptLost].sort();
}

type Candidate = Pick<ControlMember, "host" | "dataCentre">;

function compareCandidates(
  one: Candidate,
  other: Candidate,
  chosen: readonly Candidate[],
): number {
  const count = ({ dataCentre }: Candidate) =>
    chosen.filter((each) => each.dataCentre === dataCentre).length;
  return count(one) - count(other) || (one.host < other.host ? -1 : 1);
}

function largestOddUpTo(count: number): number {
  return count % 2 === 0 ? count - 1 : count;
}
