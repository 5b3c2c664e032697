/**
 * A model of the cloud (PROTOCOL "Controller nodes -> cloud"): rentals and returns of machines, capacity,
 * boot times, and lists that lag behind. It notifies the deployment when a machine is up and when it is gone.
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

/** The cloud's record of a machine. Times are virtual milliseconds; infinite means not yet, or never. */
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
  /** When it crashed. It stays listed as running for `DEAD_LISTED_MS`, then as failed. */
  crashedAt: number;
  /** When it was returned or preempted. */
  removedAt: number;
}

/** How many ordinary and spot machines of a type a zone has. */
export interface Capacity {
  type: string;
  zone: string;
  ordinary: number;
  spot: number;
}

const okReply = (body: string): Reply => ({ status: 200, body });
const errorReply = (status: number, error: string): Reply => ({ status, body: JSON.stringify({ error }) });

/** The cloud of a deployment. */
export class Cloud {
  /** Machines by id, in the order of rental. Removed ones stay as long as a list may still show them. */
  readonly machines = new Map<string, CloudMachine>();
  /** Ids of rented machines, by the rental's name. A repeated rental gets the same machines. */
  private readonly machinesByRental = new Map<string, string[]>();
  /** Number of machines in use, by `capacityKey`. */
  private readonly inUse = new Map<string, number>();
  /** Timers that bring machines up, by machine id. */
  private readonly bootTimers = new Map<string, Timer>();
  private readonly rateLimit: TokenBucket;
  /** Number of machines added so far, from which ids are made. */
  private machineCount = 0;
  /** While set, every call is answered 503. */
  hasOutage = false;
  /** Factor on boot times. */
  bootFactor = 1;
  /** Share of machines that never boot. */
  bootFailureShare = 0.02;
  /** While set, no rental succeeds. */
  isOutOfCapacity = false;
  /** Share of rentals and returns that get no answer and take effect later. */
  lateShare = 0;
  /** Calls rejected with 429, machines rented, machines returned. */
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
    /**
     * `onUp`: the machine has booted. `onGone`: the machine crashed or was removed after it had booted.
     * Called twice for a machine that crashes and is removed later.
     */
    private readonly listener: {
      onUp: (machine: CloudMachine) => void;
      onGone: (machine: CloudMachine) => void;
    },
  ) {
    this.rateLimit = new TokenBucket(time, deployment.rps, deployment.rps * CLOUD_BURST_S);
  }

  /** Serves one request. Undefined means that the answer is lost, although the request took effect. */
  serve = async (request: Request): Promise<Reply | undefined> => {
    if (this.hasOutage) return errorReply(503, 'trouble');
    if (!this.rateLimit.take(1)) {
      this.counts.refused++;
      return errorReply(429, 'limit');
    }
    await this.time.sleep(CLOUD_LATENCY_MS * (0.75 + this.random.below(1000) / 2000));
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- an outage may begin during the wait
    if (this.hasOutage) return errorReply(503, 'trouble');
    const url = new URL(request.path, 'http://cloud');
    if (request.method === 'GET' && url.pathname === '/catalog') {
      return okReply(cloudResponses.catalog(this.deployment.types, this.deployment.zones));
    }
    if (request.method === 'GET' && url.pathname === '/hosts') return this.list(url.searchParams);
    if (request.method !== 'POST') return errorReply(400, 'malformed');
    const isLate = this.lateShare > 0 && this.random.below(1000) < this.lateShare * 1000;
    if (isLate) await this.time.sleep(this.random.below(20_000));
    let reply: Reply = errorReply(400, 'malformed');
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

  /** Key of the machines that share one capacity. */
  private capacityKey(type: string, zone: string, spot: boolean): string {
    return `${type}/${zone}/${String(spot)}`;
  }

  private freeCapacity(type: string, zone: string, spot: boolean): number {
    const capacity = this.deployment.capacity.find((c) => c.type === type && c.zone === zone);
    const total = (spot ? capacity?.spot : capacity?.ordinary) ?? 0;
    return total - (this.inUse.get(this.capacityKey(type, zone, spot)) ?? 0);
  }

  /** Rents as many of the requested machines as there is capacity for. */
  private rent(rent: RentRequest): Reply {
    const rented = this.machinesByRental.get(rent.name);
    if (rented) return okReply(cloudResponses.rented(rented));
    const type = this.deployment.types.find((t) => t.name === rent.type);
    if (!type || !this.deployment.zones.includes(rent.zone)) return errorReply(400, 'malformed');
    const count = this.isOutOfCapacity
      ? 0
      : Math.min(rent.count, this.freeCapacity(rent.type, rent.zone, rent.spot));
    if (count <= 0) return errorReply(503, 'no capacity');
    const names = Array.from({ length: count }, () => this.add(type, rent.zone, rent.spot, null).id);
    this.machinesByRental.set(rent.name, names);
    this.counts.rented += count;
    return okReply(cloudResponses.rented(names));
  }

  /**
   * Adds a machine. If `upAfterMs` is null, its boot time is drawn: some machines boot slowly, some never.
   */
  add(type: MachineTypeSpec, zone: string, spot: boolean, upAfterMs: number | null): CloudMachine {
    const id = `n-${String(++this.machineCount).padStart(6, '0')}`;
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
    const kind = this.capacityKey(type.name, zone, spot);
    this.inUse.set(kind, (this.inUse.get(kind) ?? 0) + 1);
    const bootMs = upAfterMs ?? this.bootMs(type);
    if (bootMs !== Infinity) {
      const bringUp = (): void => {
        this.bootTimers.delete(id);
        machine.upAt = this.time.now;
        this.listener.onUp(machine);
      };
      this.bootTimers.set(id, this.time.after(bootMs, bringUp));
    }
    return machine;
  }

  /** Draws a boot time; infinite if the machine never boots. */
  private bootMs(type: MachineTypeSpec): number {
    const unit = this.random.below(10_000) / 10_000;
    if (unit < this.bootFailureShare) return Infinity;
    if (unit < this.bootFailureShare + BOOT_QUICK_SHARE) return this.random.below(2000);
    const usual = type.bootS * 1000 * (0.6 + (0.9 * this.random.below(1000)) / 1000) * this.bootFactor;
    return unit < this.bootFailureShare + BOOT_QUICK_SHARE + BOOT_SLOW_SHARE ? usual * 4 : usual;
  }

  /** Removes the returned machines. Unknown and already removed ones are ignored. */
  private returnMachines(names: string[]): Reply {
    for (const name of names) {
      const machine = this.machines.get(name);
      if (machine?.removedAt === Infinity) this.counts.returned++;
      this.remove(name);
    }
    return okReply('{}');
  }

  /** Removes a returned or preempted machine and everything on it. */
  remove(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.removedAt !== Infinity) return;
    machine.removedAt = this.time.now;
    this.bootTimers.get(name)?.cancel();
    this.bootTimers.delete(name);
    const kind = this.capacityKey(machine.type.name, machine.zone, machine.spot);
    this.inUse.set(kind, (this.inUse.get(kind) ?? 1) - 1);
    if (machine.upAt !== Infinity) this.listener.onGone(machine);
    // Lists are at most twice the lag old.
    this.time.after(this.deployment.listLagMs * 2 + 1000, () => this.machines.delete(name));
  }

  /** Crashes a machine that is up, with everything on it. */
  crash(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.removedAt !== Infinity || machine.upAt === Infinity) return;
    if (machine.crashedAt !== Infinity) return;
    machine.crashedAt = this.time.now;
    this.listener.onGone(machine);
  }

  // --- listing ---

  /**
   * The list as it was one lag ago, or sometimes up to twice the lag ago. It may therefore be older than the
   * list that was served before.
   */
  private list(query: URLSearchParams): Reply {
    const lagMs = this.deployment.listLagMs;
    const extraLagMs = this.random.below(4) === 0 ? (lagMs * this.random.below(1000)) / 1000 : 0;
    const at = this.time.now - lagMs - extraLagMs;
    const from = query.get('from') ?? '';
    const limit = Math.min(MACHINE_LIST_MAX, Number(query.get('most') ?? MACHINE_LIST_MAX));
    const listed: ListedMachine[] = [];
    let truncated = false;
    for (const m of this.machines.values()) {
      if (m.id <= from || m.rentedAt > at || m.removedAt <= at) continue;
      if (listed.length >= limit) {
        truncated = true;
        break;
      }
      const failed = m.crashedAt + DEAD_LISTED_MS <= at;
      listed.push({
        id: m.id,
        endpoint: m.endpoint,
        type: m.type.name,
        zone: m.zone,
        spot: m.spot,
        state: failed ? 'failed' : m.upAt <= at ? 'running' : 'starting',
        ageS: (at - m.rentedAt) / 1000,
      });
    }
    return okReply(cloudResponses.list(listed, truncated));
  }
}
