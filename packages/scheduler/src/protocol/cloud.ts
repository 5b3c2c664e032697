import * as z from 'zod/mini';
import { CLOUD_PAGE_SIZE } from '../constants.ts';
import { type HttpClient, NoAnswer } from '../transport/http-client.ts';
import { parseJson, stringifyJson } from './json.ts';

export interface MachineType {
  name: string;
  cores: number;
  accelerators: number;
  ramGb: number;
  /** Room for images. */
  localGb: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

export type ScaleOutResult = { kind: 'rented'; machines: string[] } | { kind: 'none' } | { kind: 'refused' };

const catalog = z.object({
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
const hosts = z.object({
  banchi: z.array(
    z.object({
      id: z.string(),
      endpoint: z.nullish(z.string()),
      modello: z.string(),
      sede: z.string(),
      prestiti: z.nullish(z.boolean()),
      stato: z.string(),
      age_s: z.number(),
    }),
  ),
  truncated: z.nullish(z.boolean()),
});
const rented = z.object({ banchi: z.array(z.string()) });

/** The cloud refused the call (limit, outage): it was not carried out. */
export class CloudRefused extends Error {}

export interface Cloud {
  catalog(): Promise<MachineType[]>;
  list(after: string | null): Promise<{ machines: ListedMachine[]; more: boolean }>;
  rent(request: {
    name: string;
    type: string;
    zone: string;
    spot: boolean;
    count: number;
  }): Promise<ScaleOutResult>;
  /** Resolves when the machines and all on them are gone. */
  giveBack(machines: string[]): Promise<void>;
}

export function cloudClient(
  http: HttpClient,
  address: string,
  deadlineMs: number,
  signal: AbortSignal,
): Cloud {
  const call = async (
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<{ status: number; body: unknown }> => {
    const sent = body === undefined ? {} : { body: stringifyJson(body) };
    const answer = await http({ address, method, path, deadlineMs, signal, ...sent });
    try {
      return { status: answer.status, body: parseJson(answer.text) };
    } catch {
      throw new NoAnswer(`${path}: not JSON`);
    }
  };
  const ok = <T extends z.ZodMiniType>(schema: T, answer: { status: number; body: unknown }): z.infer<T> => {
    if (answer.status !== 200) throw new CloudRefused(`status ${String(answer.status)}`);
    return z.parse(schema, answer.body);
  };
  return {
    catalog: async () =>
      ok(catalog, await call('GET', '/catalog')).modelli.map((m) => ({
        name: m.name,
        cores: m.cores,
        accelerators: m.accelerators ?? 0,
        ramGb: m.ram_gb,
        localGb: m.local_gb ?? 0,
        price: m.rate,
        spotPrice: m.low_price ?? m.rate,
        bootS: m.ready_s,
        zones: m.sedi,
      })),
    list: async (after) => {
      const from = after === null ? '' : `from=${encodeURIComponent(after)}&`;
      const page = ok(hosts, await call('GET', `/hosts?${from}most=${String(CLOUD_PAGE_SIZE)}`));
      return {
        machines: page.banchi.map((m) => ({
          id: m.id,
          endpoint: m.endpoint ?? '',
          type: m.modello,
          zone: m.sede,
          spot: m.prestiti ?? false,
          state: m.stato === 'failed' ? 'failed' : m.stato === 'running' ? 'running' : 'booting',
          ageS: m.age_s,
        })),
        more: page.truncated ?? false,
      };
    },
    rent: async (r) => {
      const answer = await call('POST', '/hosts', {
        richiesta: r.name,
        modello: r.type,
        sede: r.zone,
        prestiti: r.spot,
        number: r.count,
      });
      if (answer.status === 200) return { kind: 'rented', machines: z.parse(rented, answer.body).banchi };
      const error = (answer.body as { error?: unknown } | null)?.error;
      return answer.status === 503 && error === 'no capacity' ? { kind: 'none' } : { kind: 'refused' };
    },
    giveBack: async (machines) => {
      const answer = await call('POST', '/hosts/return', { banchi: machines });
      if (answer.status !== 200) throw new CloudRefused(`status ${String(answer.status)}`);
    },
  };
}
