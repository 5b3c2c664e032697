// The small deployment of the first site file: three controllers in three zones.
/* eslint-disable @typescript-eslint/no-unsafe-assignment -- plain JavaScript, which has no types */
export const smallDeployment = {
  zones: ['brescia', 'vicenza', 'trento'],
  settings: {
    workers: { reportS: 3, leaseS: 31, cancelS: 61 },
    state: { rps: 250, writeRps: 50, valueKb: 8, txnOps: 40 },
    cloud: { rps: 6, listLagS: 8 },
    limits: { cores: 0.17, memMb: 306, fdLimit: 3000 },
  },
  types: [machineType('banco', 8, 32, 0.35, 0.11, 35), machineType('officina', 16, 128, 0.82, 0.27, 30)],
  machines: [
    { zone: 'brescia', type: 'banco', count: 5 },
    { zone: 'vicenza', type: 'banco', count: 6 },
    { zone: 'trento', type: 'banco', count: 6 },
    { zone: 'brescia', type: 'officina', count: 1 },
    { zone: 'vicenza', type: 'officina', count: 1 },
    { zone: 'trento', type: 'officina', count: 1 },
  ],
  teams: [
    { name: 'sportello', cpus: 56, cpusMax: 184 },
    { name: 'formazione', cpus: 72, cpusMax: 296 },
    { name: 'contratti', cpus: 56, cpusMax: 128 },
  ],
};

function machineType(name, cores, ramGb, rate, lowPrice, readyS) {
  return {
    name,
    cores,
    accelerators: 0,
    ram_gb: ramGb,
    local_gb: 50,
    pull_gb_per_s: 0.25,
    rate,
    low_price: lowPrice,
    ready_s: readyS,
    sedi: ['brescia', 'vicenza', 'trento'],
  };
}
