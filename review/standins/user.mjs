// A user with one connection through the load balancer, which stays open until one side closes it.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-template-expressions, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { Agent, request } from 'node:http';

export class User {
  constructor({ balancer, record }) {
    Object.assign(this, { balancer, record });
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  close() {
    this.agent.destroy();
  }

  /** A request on the user's connection; a new one if it was closed. Null without an answer in time. */
  async call(what, method, path, body, timeoutMs) {
    const { answer, node } = await this.send(method, path, body, timeoutMs);
    this.record.line(`${what} at ${node}: ${answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer'}`);
    return answer;
  }

  send(method, path, body, timeoutMs) {
    const [host, port] = this.balancer.address.split(':');
    const text = body === undefined ? '' : JSON.stringify(body);
    return new Promise((resolve) => {
      let node = 'no node';
      const headers = { 'content-length': Buffer.byteLength(text) };
      const req = request({ host, port: Number(port), method, path, headers, agent: this.agent }, (res) => {
        let received = '';
        node = this.balancer.nodeOf(req.socket.localPort);
        res.on('data', (chunk) => (received += chunk));
        res.on('end', () => settle({ status: res.statusCode, body: received === '' ? {} : JSON.parse(received) }));
      });
      const settle = (answer) => {
        clearTimeout(timer);
        resolve({ answer, node });
      };
      const timer = setTimeout(() => {
        settle(null);
        req.destroy();
      }, timeoutMs);
      req.on('error', () => settle(null));
      req.end(text);
    });
  }
}
