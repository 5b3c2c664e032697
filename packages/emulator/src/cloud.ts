/**
 * A model of the cloud (PROTOCOL "Controller nodes -> cloud"): rentals and returns of machines, capacity, boot times, and
 * lists that lag behind. It tells the deployment when a machine is up and when it is gone.
 */
import type { Random } from '@onyxkeel/scheduler';
import { TokenBucket } from './token-bucket.ts';
import {
  BOOT_QUICK_SHARE,
  BOOT_SLOW_SHARE,
  CLOUD_BURST_S,
  CLOUD_LATENCY_MS,
  DEAD_LISTED_MS,
  MACHINE_LIST_MAX,
  RENTAL_MAX,
  RETURN_MAX,
} from './constants.ts';
import type { Reply, Request } from './network.ts';
import {
  cloudResponses,
  type ListedMachine,
  type MachineTypeSpec,
  readRent,
  readReturn,
  type RentRequest,
} from './protocol/wire.ts';
import type { Timer, VirtualTime } from './time.ts';

/** A machine as the cloud knows it. Times are virtual milliseconds; infinite: not yet, or never. */
export interface CloudMachine {
  readonly id: string;
  /** The worker's address. */
  readonly endpoint: string;
  readonly type: MachineTypeSpec;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedAt: number;
  /** When its worker started. */
  upAt: number;
  /** When it stopped by itself; it stays listed as running for a while, then as failed. */
  crashedAt: number;
  /** When it was deleted or taken. */
  removedAt: number;
}

/** How many machines of a type a zone has, ordinary and spot machines apart. */
export interface Capacity {
  type: string;
  zone: string;
  ordinary: number;
  spot: number;
}

const json = (body: string): Reply => ({ status: 200, body });
const refused = (status: number, error: string): Reply => ({ status, body: JSON.stringify({ error }) });

/** The cloud of a deployment. */
export class Cloud {
  /** By id, in the order of rental; removed ones as long as a list may still show them. */
  readonly machines = new Map<string, CloudMachine>();
  /** By the name of a rental, the machines that it got: repeated, it gets the same. */
  private readonly answered = new Map<string, string[]>();
  /** Machines in use, by type, zone and spot flag. */
  private readonly taken = new Map<string, number>();
  /** By machine, what brings it up. */
  private readonly boots = new Map<string, Timer>();
  private readonly calls: TokenBucket;
  /** Machines added so far; numbers them. */
  private count = 0;
  /** Every call gets 503. */
  hasOutage = false;
  /** Factor on boot times. */
  bootFactor = 1;
  /** Share of machines that never come up. */
  bootFail = 0.02;
  /** No rental succeeds while set. */
  isOutOfCapacity = false;
  /** Share of rentals and deletions that get no answer and take effect later. */
  lateShare = 0;
  /** Calls refused with 429, machines rented, machines returned. */
  readonly counts = { refused: 0, rented: 0, returned: 0 };

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly deployment: {
      types: MachineTypeSpec[];
      zones: string[];
      capacity: Capacity[];
      rps: number;
      listLagMs: number;
    },
    /** `up`: the machine's worker starts. `gone`: the machine is no more; called twice if it crashed and is returned. */
    private readonly listener: { up: (machine: CloudMachine) => void; gone: (machine: CloudMachine) => void },
  ) {
    this.calls = new TokenBucket(time, deployment.rps, deployment.rps * CLOUD_BURST_S);
  }

  /** Serves one request; undefined: its answer is lost, though it took effect. */
  serve = async (request: Request): Promise<Reply | undefined> => {
    if (this.hasOutage) return refused(503, 'trouble');
    if (!this.calls.take(1)) {
      this.counts.refused++;
      return refused(429, 'limit');
    }
    await this.time.sleep(CLOUD_LATENCY_MS * (0.75 + this.random.below(1000) / 2000));
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- an outage may begin during the wait
    if (this.hasOutage) return refused(503, 'trouble');
    const url = new URL(request.path, 'http://cloud');
    if (request.method === 'GET' && url.pathname === '/catalog') {
      return json(cloudResponses.catalog(this.deployment.types, this.deployment.zones));
    }
    if (request.method === 'GET' && url.pathname === '/hosts') return this.list(url.searchParams);
    if (request.method !== 'POST') return refused(400, 'malformed');
    const isLate = this.lateShare > 0 && this.random.below(1000) < this.lateShare * 1000;
    if (isLate) await this.time.sleep(this.random.below(20_000));
    let reply: Reply = refused(400, 'malformed');
    if (url.pathname === '/hosts') {
      const rent = readRent(request.body);
      if (rent && rent.count <= RENTAL_MAX) reply = this.rent(rent);
    } else if (url.pathname === '/hosts/return') {
      const names = readReturn(request.body);
      if (names && names.length <= RETURN_MAX) reply = this.returnMachines(names);
    }
    return isLate ? undefined : reply;
  };

  // --- renting ---

  /** Key of the machines that share a capacity. */
  private kind(type: string, zone: string, spot: boolean): string {
    return `${type}/${zone}/${String(spot)}`;
  }

  private freeCapacity(type: string, zone: string, spot: boolean): number {
    const capacity = this.deployment.capacity.find((c) => c.type === type && c.zone === zone);
    const total = (spot ? capacity?.spot : capacity?.ordinary) ?? 0;
    return total - (this.taken.get(this.kind(type, zone, spot)) ?? 0);
  }

  /** Rents as many of the machines asked for as there is capacity for. */
  private rent(rent: RentRequest): Reply {
    const known = this.answered.get(rent.name);
    if (known) return json(cloudResponses.rented(known));
    const type = this.deployment.types.find((t) => t.name === rent.type);
    if (!type || !this.deployment.zones.includes(rent.zone)) return refused(400, 'malformed');
    const count = this.isOutOfCapacity
      ? 0
      : Math.min(rent.count, this.freeCapacity(rent.type, rent.zone, rent.spot));
    if (count <= 0) return refused(503, 'no capacity');
    const names = Array.from({ length: count }, () => this.add(type, rent.zone, rent.spot, null).id);
    this.answered.set(rent.name, names);
    this.counts.rented += count;
    return json(cloudResponses.rented(names));
  }

  /** A new machine; with `upAfterMs` null it boots as machines do, some slowly, some never. */
  add(type: MachineTypeSpec, zone: string, spot: boolean, upAfterMs: number | null): CloudMachine {
    const id = `n-${String(++this.count).padStart(6, '0')}`;
    const machine: CloudMachine = {
      id,
      endpoint: `${id}:9000`,
      type,
      zone,
      spot,
      rentedAt: this.time.now,
      upAt: Infinity,
      crashedAt: Infinity,
      removedAt: Infinity,
    };
    this.machines.set(id, machine);
    const kind = this.kind(type.name, zone, spot);
    this.taken.set(kind, (this.taken.get(kind) ?? 0) + 1);
    const boot = upAfterMs ?? this.bootMs(type);
    if (boot !== Infinity) {
      const up = (): void => {
        this.boots.delete(id);
        machine.upAt = this.time.now;
        this.listener.up(machine);
      };
      this.boots.set(id, this.time.after(boot, up));
    }
    return machine;
  }

  /** Draws how long a machine boots; infinite where it never comes up. */
  private bootMs(type: MachineTypeSpec): number {
    const unit = this.random.below(10_000) / 10_000;
    if (unit < this.bootFail) return Infinity;
    if (unit < this.bootFail + BOOT_QUICK_SHARE) return this.random.below(2000);
    const usual = type.bootS * 1000 * (0.6 + (0.9 * this.random.below(1000)) / 1000) * this.bootFactor;
    return unit < this.bootFail + BOOT_QUICK_SHARE + BOOT_SLOW_SHARE ? usual * 4 : usual;
  }

  /** Deletes the machines; unknown and removed ones are passed over. */
  private returnMachines(names: string[]): Reply {
    for (const name of names) {
      const machine = this.machines.get(name);
      if (machine?.removedAt === Infinity) this.counts.returned++;
      this.remove(name);
    }
    return json('{}');
  }

  /** The machine and everything on it is gone, deleted or taken back. */
  remove(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.removedAt !== Infinity) return;
    machine.removedAt = this.time.now;
    this.boots.get(name)?.cancel();
    this.boots.delete(name);
    const kind = this.kind(machine.type.name, machine.zone, machine.spot);
    this.taken.set(kind, (this.taken.get(kind) ?? 1) - 1);
    if (machine.upAt !== Infinity) this.listener.gone(machine);
    // Lists go back by twice the lag at the most.
    this.time.after(this.deployment.listLagMs * 2 + 1000, () => this.machines.delete(name));
  }

  /** The machine stops by itself, with all that is on it. */
  crash(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.removedAt !== Infinity || machine.upAt === Infinity) return;
    if (machine.crashedAt !== Infinity) return;
    machine.crashedAt = this.time.now;
    this.listener.gone(machine);
  }

  // --- listing ---

  /** The list as it was some time ago: the lag, sometimes up to twice that, so that a list may be older than one before. */
  private list(query: URLSearchParams): Reply {
    const lag = this.deployment.listLagMs;
    const further = this.random.below(4) === 0 ? (lag * this.random.below(1000)) / 1000 : 0;
    const at = this.time.now - lag - further;
    const from = query.get('from') ?? '';
    const most = Math.min(MACHINE_LIST_MAX, Number(query.get('most') ?? MACHINE_LIST_MAX));
    const seen: ListedMachine[] = [];
    let truncated = false;
    for (const m of this.machines.values()) {
      if (m.id <= from || m.rentedAt > at || m.removedAt <= at) continue;
      if (seen.length >= most) {
        truncated = true;
        break;
      }
      const failed = m.crashedAt + DEAD_LISTED_MS <= at;
      seen.push({
        id: m.id,
        endpoint: m.endpoint,
        type: m.type.name,
        zone: m.zone,
        spot: m.spot,
        state: failed ? 'failed' : m.upAt <= at ? 'running' : 'starting',
        ageS: (at - m.rentedAt) / 1000,
      });
    }
    return json(cloudResponses.list(seen, truncated));
  }
}
