// A proxy of connections that can refuse them: whoever connects is reset, as by a packet filter.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call -- plain JavaScript, which has no types */
import { connect, createServer } from 'node:net';

export class Proxy {
  constructor(target) {
    this.target = target;
    this.sockets = new Set();
    this.port = 0;
  }

  async start() {
    this.server = createServer((socket) => {
      const [host, port] = this.target.split(':');
      const upstream = connect({ host, port: Number(port) });
      for (const each of [socket, upstream]) {
        this.sockets.add(each);
        each.on('error', () => each.destroy());
        each.on('close', () => this.sockets.delete(each));
      }
      socket.on('close', () => upstream.destroy());
      upstream.on('close', () => socket.destroy());
      socket.pipe(upstream);
      upstream.pipe(socket);
    });
    await new Promise((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${String(this.port)}`;
  }

  /** From now on connections are refused, and those that are open are reset. */
  refuse() {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
