// One request on a connection of its own. Resolves with null if no complete JSON answer comes in time.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { request } from 'node:http';

export function call(address, method, path, body, timeoutMs) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const headers = { connection: 'close', 'content-length': Buffer.byteLength(text) };
    const req = request({ host, port: Number(port), method, path, headers, agent: false }, (res) => {
      let received = '';
      res.on('data', (chunk) => (received += chunk));
      res.on('error', () => settle(null));
      res.on('end', () => {
        try {
          settle({ status: res.statusCode, body: received === '' ? {} : JSON.parse(received) });
        } catch {
          settle(null);
        }
      });
    });
    const timer = setTimeout(() => settle(null), timeoutMs);
    const settle = (answer) => {
      clearTimeout(timer);
      resolve(answer);
      req.destroy();
    };
    req.on('error', () => settle(null));
    req.end(text);
  });
}
