/** Addresses of the form `IPv4:port`, as in the settings. */

/** A host and a port, as arguments of Node's functions. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
