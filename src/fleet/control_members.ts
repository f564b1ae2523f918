/** The hosts with disks: who is there, and who should be a voter.
 * @module */

/** Milliseconds without a greeting after which a host counts as lost: three
 * greetings and the delay of a busy host. */
const LOST = 1500;

/** A host with a disk that was heard. */
export interface ControlMember {
  readonly host: string;
  readonly dataCentre: string;
  readonly heard: number;
}

/** Hosts with disks as one of them knows them; changed in place. */
export class ControlMembers {
  readonly #self: ControlMember;
  readonly #known = new Set<string>();
  readonly #heard = new Map<string, ControlMember>();
  readonly #started: number;

  private constructor(self: ControlMember, started: number) {
    this.#self = self;
    this.#started = started;
  }

  /** Only this host is known, and `known` by their addresses. */
  static create(
    self: Pick<ControlMember, "host" | "dataCentre">,
    { known, now }: { known: readonly string[]; now: number },
  ): ControlMembers {
    const members = new ControlMembers({ ...self, heard: Infinity }, now);
    members.addKnown(known);
    return members;
  }

  /** Notes hosts that may be there. */
  addKnown(hosts: readonly string[]): void {
    for (const host of hosts) {
      if (host !== this.#self.host) this.#known.add(host);
    }
  }

  /** Notes a greeting. */
  recordHello(host: ControlMember): void {
    this.addKnown([host.host]);
    this.#heard.set(host.host, host);
  }

  /** Whether `hosts` are a majority: of the voters, as whatever binds the fleet
   * needs, or of all hosts ever known while no voters are. Those that were heard
   * just now don't count as all: on a host that is cut off they are few. */
  isMajority(hosts: readonly string[], voters: readonly string[]): boolean {
    const all = voters.length > 0 ? voters : [this.#self.host, ...this.#known];
    const known = all.filter((host) => hosts.includes(host));
    return 2 * known.length > all.length;
  }

  /** The other hosts that greetings go to. */
  get others(): string[] {
    return [...this.#known];
  }

  /** Hosts that are there, this one among them. */
  live(now: number): ControlMember[] {
    const others = [...this.#heard.values()];
    return [
      this.#self,
      ...others.filter(({ heard }) => now - heard <= LOST),
    ];
  }

  /** Hosts to choose voters from: those that are there, and voters that this
   * host has had no time to hear since its start. */
  candidates(voters: readonly string[], now: number): ControlMember[] {
    const live = this.live(now);
    if (now - this.#started > LOST) return live;
    const unheard = voters.filter((host) =>
      !live.some((one) => one.host === host)
    );
    const since = { dataCentre: "", heard: this.#started };
    return [...live, ...unheard.map((host) => ({ host, ...since }))];
  }
}

/** What a choice of voters goes by. */
export interface VoterSelection {
  /** Host that leads: it stays a voter. */
  readonly leader: string;
  readonly live: readonly Pick<ControlMember, "host" | "dataCentre">[];
  /** Hosts that are voters now. */
  readonly voters: readonly string[];
  /** Most voters; odd. */
  readonly maxVoters: number;
}

/** Hosts that should be voters: who leads, those that are and live, then live
 * ones, from the data centres with the fewest, up to an odd number; a lost voter
 * stays until a live host can take its place. */
export function chooseVoters(
  { leader, live, voters, maxVoters: most }: VoterSelection,
): string[] {
  const known = new Set([...voters, ...live.map(({ host }) => host)]);
  const wanted = Math.min(most, oddUpTo(known.size));
  const chosen: Candidate[] = [];
  const choose = (from: readonly Candidate[]) => {
    const free = [...from];
    while (chosen.length < wanted && free.length > 0) {
      const next = free.reduce((best, each) =>
        compare(each, best, chosen) < 0 ? each : best
      );
      free.splice(free.indexOf(next), 1);
      chosen.push(next);
    }
  };
  choose(live.filter(({ host }) => host === leader));
  choose(
    live.filter(({ host }) => host !== leader && voters.includes(host)),
  );
  choose(live.filter(({ host }) => !voters.includes(host)));
  const lost = voters.filter((host) => !live.some((one) => one.host === host));
  const kept = lost.sort().slice(0, Math.max(0, wanted - chosen.length));
  return [...chosen.map(({ host }) => host), ...kept].sort();
}

type Candidate = Pick<ControlMember, "host" | "dataCentre">;

function compare(
  one: Candidate,
  other: Candidate,
  chosen: readonly Candidate[],
): number {
  const count = ({ dataCentre }: Candidate) =>
    chosen.filter((each) => each.dataCentre === dataCentre).length;
  return count(one) - count(other) || (one.host < other.host ? -1 : 1);
}

function oddUpTo(count: number): number {
  return count % 2 === 0 ? count - 1 : count;
}
