// A stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud") whose capacity is the machines that a case starts.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { createServer } from 'node:http';

export class Cloud {
  /** `types`: the catalog. */
  constructor(types) {
    this.types = types;
    /** The workers that are up, by name. */
    this.machines = new Map();
    this.startedAt = new Map();
  }

  async listen() {
    this.server = createServer((req, res) => {
      let text = '';
      req.on('data', (chunk) => (text += chunk));
      req.on('end', () => {
        const [status, body] = this.answer(req.method, req.url, text === '' ? {} : JSON.parse(text));
        res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
      });
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  add(worker) {
    this.machines.set(worker.id, worker);
    this.startedAt.set(worker.id, performance.now());
  }

  answer(method, url, body) {
    const { pathname, searchParams } = new URL(url, 'http://localhost');
    if (pathname === '/catalog') return [200, { modelli: this.types }];
    if (pathname === '/hosts/return') {
      for (const id of body.banchi) {
        this.machines.get(id)?.stop();
        this.machines.delete(id);
      }
      return [200, {}];
    }
    if (pathname === '/hosts' && method === 'POST') return [503, { error: 'no capacity' }];
    const from = searchParams.get('from') ?? '';
    const banchi = [...this.machines.values()]
      .filter(({ id }) => id > from)
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .map(({ id, endpoint, type, zone, spot }) => ({
        id,
        endpoint,
        modello: type.name,
        sede: zone,
        prestiti: spot,
        stato: 'running',
        age_s: (performance.now() - this.startedAt.get(id)) / 1000 + 60,
      }));
    return [200, { banchi, truncated: false }];
  }
}
