/**
 * A network path to one address: a TCP proxy that can hold packets. While it holds, bytes of open connections
 * wait, also those of a sender that has closed its end since, and are delivered in order afterwards (PROTOCOL,
 * "Delayed messages"). A connection attempt that is given up meanwhile is not completed later.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { LOOPBACK } from './wire.ts';

/** One direction of a connection. */
class Pipe {
  private readonly waiting: Buffer[] = [];
  private ended = false;

  constructor(
    private readonly to: Socket,
    private readonly link: Link,
  ) {}

  push(chunk: Buffer): void {
    if (this.link.isHolding) this.waiting.push(chunk);
    else if (!this.to.destroyed) this.to.write(chunk);
  }

  end(): void {
    this.ended = true;
    if (!this.link.isHolding) this.to.end();
  }

  release(): void {
    if (this.to.destroyed) return;
    for (const chunk of this.waiting) this.to.write(chunk);
    this.waiting.length = 0;
    if (this.ended) this.to.end();
  }
}

export class Link {
  isHolding = false;
  port = 0;
  private readonly pipes = new Set<Pipe>();
  /** Connection attempts made while the link holds. */
  private readonly attempts = new Set<Socket>();
  private server: Server | null = null;

  constructor(private readonly target: () => number) {}

  async start(): Promise<this> {
    const server = createServer({ allowHalfOpen: true }, (client) => {
      client.on('error', () => client.destroy());
      client.on('close', () => this.attempts.delete(client));
      if (this.isHolding) {
        client.pause();
        this.attempts.add(client);
      } else this.join(client);
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    const address = server.address();
    this.port = typeof address === 'object' && address ? address.port : 0;
    return this;
  }

  hold(): void {
    this.isHolding = true;
  }

  release(): void {
    this.isHolding = false;
    for (const pipe of [...this.pipes]) pipe.release();
    for (const client of [...this.attempts]) {
      this.attempts.delete(client);
      this.joinIfOpen(client);
    }
  }

  close(): void {
    this.server?.close();
  }

  /** Connects an attempt that waited, unless its sender has given up: then what it wrote is dropped. */
  private joinIfOpen(client: Socket): void {
    const received: Buffer[] = [];
    let gaveUp = false;
    const onData = (chunk: Buffer): void => void received.push(chunk);
    const onEnd = (): void => void (gaveUp = true);
    client.on('data', onData);
    client.on('end', onEnd);
    client.resume();
    setTimeout(() => {
      client.off('data', onData);
      client.off('end', onEnd);
      if (gaveUp || client.destroyed) client.destroy();
      else this.join(client, received);
    }, 20);
  }

  private join(client: Socket, received: readonly Buffer[] = []): void {
    const upstream = connect({ host: LOOPBACK, port: this.target(), allowHalfOpen: true });
    for (const socket of [client, upstream]) socket.setNoDelay(true);
    const up = new Pipe(upstream, this);
    const down = new Pipe(client, this);
    this.pipes.add(up).add(down);
    for (const chunk of received) up.push(chunk);
    client.on('data', (chunk: Buffer) => up.push(chunk));
    client.on('end', () => up.end());
    upstream.on('data', (chunk: Buffer) => down.push(chunk));
    upstream.on('end', () => down.end());
    upstream.on('error', () => client.destroy());
    // A client that resets its end: what it sent before is still on its way.
    client.on('close', () => up.end());
    upstream.on('close', () => {
      this.pipes.delete(up);
      this.pipes.delete(down);
      if (!this.isHolding) client.destroy();
    });
  }
}
