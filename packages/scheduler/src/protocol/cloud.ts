/**
 * The cloud's API (PROTOCOL), and its client over HTTP. The names on the wire are used in this module only.
 *
 * A call rejects with `NoAnswer` if it is unknown whether the cloud carried it out, and with `CloudRefused`
 * if the cloud did not carry it out. If the answer's JSON does not conform to PROTOCOL, the call rejects with
 * a `ZodError`, which means the same as `NoAnswer`.
 */
import * as z from 'zod/mini';
import { CLOUD_PAGE_SIZE } from '../constants.ts';
import { errorOf, type JsonReply, parseReply, type ServiceEndpoint } from './json-reply.ts';
import { stringifyJson } from './json.ts';
import type { MachineId } from './workers.ts';

/** A type of machine that the cloud offers. */
export interface MachineType {
  name: string;
  cores: number;
  accelerators: number;
  /** Memory, in gigabytes. */
  ramGb: number;
  /** Local disk space for images, in gigabytes. */
  localGb: number;
  /** Price of an on-demand machine; used only to compare types. */
  price: number;
  /** Price of a spot machine, in the same unit. */
  spotPrice: number;
  /** Seconds that a machine of this type usually takes to boot. */
  bootS: number;
  /** Zones in which the cloud offers the type. */
  zones: string[];
}

/** A machine in the cloud's list, which lags behind the actual state (`listLagMs` in the settings). */
export interface ListedMachine {
  id: MachineId;
  /** Address of the machine's worker; empty until the machine has an address. */
  endpoint: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Seconds since it was created. */
  ageS: number;
}

/**
 * A request for new machines of one type. Repeating it has no further effect. Its name is never used for
 * another request.
 */
export interface ScaleOutRequest {
  /** Name of the request, chosen by the caller. */
  name: string;
  /** Name of the machine type. */
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The machines created; `none` if the zone has no capacity; `refused` if the call may be repeated. */
export type ScaleOutResult =
  { kind: 'created'; machines: MachineId[] } | { kind: 'none' } | { kind: 'refused' };

/** A page of the cloud's list of machines. */
export interface MachinePage {
  machines: ListedMachine[];
  /** Whether there are further pages. */
  more: boolean;
}

/** The cloud refused the call (limit, outage) and did not carry it out. */
export class CloudRefused extends Error {
  readonly code = 'CLOUD_REFUSED';
}

/** The calls of the cloud. */
export interface Cloud {
  /** All machine types. */
  catalog(): Promise<MachineType[]>;
  /** The next page of this deployment's machines, after the machine `after`; null for the first page. */
  list(after: MachineId | null): Promise<MachinePage>;
  /** Creates machines. Unlike the other calls, reports a refusal as a result. */
  createMachines(request: ScaleOutRequest): Promise<ScaleOutResult>;
  /** Resolves once the machines and everything on them have certainly terminated. */
  terminateMachines(machines: MachineId[]): Promise<void>;
}

const wireCatalog = z.object({
  modelli: z.array(
    z.object({
      name: z.string(),
      cores: z.number(),
      accelerators: z.nullish(z.number()),
      ram_gb: z.number(),
      local_gb: z.nullish(z.number()),
      rate: z.number(),
      low_price: z.nullish(z.number()),
      ready_s: z.number(),
      sedi: z.array(z.string()),
    }),
  ),
});
const wireMachine = z.object({
  id: z.string(),
  endpoint: z.nullish(z.string()),
  modello: z.string(),
  sede: z.string(),
  prestiti: z.nullish(z.boolean()),
  stato: z.string(),
  age_s: z.number(),
});
const wireMachinePage = z.object({ banchi: z.array(wireMachine), truncated: z.nullish(z.boolean()) });
const wireCreated = z.object({ banchi: z.array(z.string()) });

function decodeMachineType(wire: z.infer<typeof wireCatalog>['modelli'][number]): MachineType {
  return {
    name: wire.name,
    cores: wire.cores,
    accelerators: wire.accelerators ?? 0,
    ramGb: wire.ram_gb,
    localGb: wire.local_gb ?? 0,
    price: wire.rate,
    spotPrice: wire.low_price ?? wire.rate,
    bootS: wire.ready_s,
    zones: wire.sedi,
  };
}

/** Decodes a machine. A state that this version does not know counts as booting. */
function decodeMachine(wire: z.infer<typeof wireMachine>): ListedMachine {
  return {
    id: wire.id,
    endpoint: wire.endpoint ?? '',
    type: wire.modello,
    zone: wire.sede,
    spot: wire.prestiti ?? false,
    state: wire.stato === 'failed' || wire.stato === 'running' ? wire.stato : 'booting',
    ageS: wire.age_s,
  };
}

function expectOk<T extends z.ZodMiniType>(schema: T, reply: JsonReply): z.infer<T> {
  requireOk(reply);
  return z.parse(schema, reply.body);
}

function requireOk({ status }: JsonReply): void {
  if (status !== 200) throw new CloudRefused(`status ${String(status)}`);
}

class CloudClient implements Cloud {
  constructor(private readonly endpoint: ServiceEndpoint) {}

  async catalog(): Promise<MachineType[]> {
    return expectOk(wireCatalog, await this.call('GET', '/catalog')).modelli.map(decodeMachineType);
  }

  async list(after: MachineId | null): Promise<MachinePage> {
    const from = after === null ? '' : `from=${encodeURIComponent(after)}&`;
    const path = `/hosts?${from}most=${String(CLOUD_PAGE_SIZE)}`;
    const page = expectOk(wireMachinePage, await this.call('GET', path));
    return { machines: page.banchi.map(decodeMachine), more: page.truncated ?? false };
  }

  async createMachines(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const reply = await this.call('POST', '/hosts', {
      richiesta: request.name,
      modello: request.type,
      sede: request.zone,
      prestiti: request.spot,
      number: request.count,
    });
    if (reply.status === 200) return { kind: 'created', machines: z.parse(wireCreated, reply.body).banchi };
    const isOutOfCapacity = reply.status === 503 && errorOf(reply) === 'no capacity';
    return { kind: isOutOfCapacity ? 'none' : 'refused' };
  }

  async terminateMachines(machines: MachineId[]): Promise<void> {
    requireOk(await this.call('POST', '/hosts/return', { banchi: machines }));
  }

  private async call(method: 'GET' | 'POST', path: string, body?: object): Promise<JsonReply> {
    const { http, address, deadlineMs, signal } = this.endpoint;
    const sent = body === undefined ? {} : { body: stringifyJson(body) };
    return parseReply(path, await http({ address, method, path, deadlineMs, signal, ...sent }));
  }
}

/** A client of the cloud. */
export function cloudClient(endpoint: ServiceEndpoint): Cloud {
  return new CloudClient(endpoint);
}
