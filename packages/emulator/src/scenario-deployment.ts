/** Converts a scenario to its deployment and to the jobs that its users submit. */
import { type JobSpec, seededRandom } from '@onyxkeel/scheduler';
import type { Deployment } from './deployment.ts';
import type { MachineTypeSpec } from './protocol/wire.ts';
import type { Scenario, ScenarioJob } from './scenario.ts';

const zoneNames = ['a', 'b', 'c'];
const teamNames = ['red', 'green', 'blue'];

const machineTypes: MachineTypeSpec[] = [
  { name: 'small', cores: 8, ramGb: 32, localGb: 20, pullGbPerS: 1, price: 0.4, spotPrice: 0.1, bootS: 12 },
  { name: 'large', cores: 16, ramGb: 128, localGb: 40, pullGbPerS: 1, price: 0.8, spotPrice: 0.2, bootS: 10 },
];

/** The settings of the fleet's two deployments, which a scenario's `pace` chooses between. */
const paces = [
  {
    heartbeatS: 2.5,
    leaseS: 16,
    cancelS: 36,
    store: { rps: 250, writeRps: 90, valueKb: 32, txnOps: 12 },
    cloud: { rps: 8, listLagS: 5 },
  },
  {
    heartbeatS: 5,
    leaseS: 31,
    cancelS: 61,
    store: { rps: 250, writeRps: 50, valueKb: 8, txnOps: 40 },
    cloud: { rps: 8, listLagS: 8 },
  },
] as const;

/** Jobs whose tasks run for more seconds than this are of the class `long`. */
const LONG_CLASS_S = 12;

/**
 * The deployment of a scenario: two types of machines, and capacity in proportion to the machines up at the
 * start.
 */
export function deploymentOf(scenario: Scenario): Deployment {
  const zones = zoneNames.slice(0, scenario.zones);
  const capacityPerType = scenario.machines * scenario.capacity + 2;
  return {
    zones,
    nodes: Array.from({ length: scenario.nodes }, (_, node) => zones[node % zones.length] ?? 'a'),
    types: machineTypes,
    capacity: zones.flatMap((zone) =>
      machineTypes.map(({ name }) => ({
        type: name,
        zone,
        ordinary: capacityPerType,
        spot: capacityPerType,
      })),
    ),
    initial: zones.flatMap((zone) => [
      { type: 'small', zone, spot: false, count: Math.ceil(scenario.machines / 2) },
      { type: 'large', zone, spot: true, count: Math.floor(scenario.machines / 2) },
    ]),
    teams: teamNames.map((name, team) => ({ name, cores: 8, maxCores: scenario.teamLimits[team] ?? 0 })),
    objectives: [
      { class: 'short', withinS: 60 },
      { class: 'long', withinS: 120 },
    ],
    ...paces[scenario.pace],
    wallClockErrorMs: 100,
  };
}

/** The specification, for the deployment, of the job at `position` in the scenario's list of jobs. */
export function jobSpecOf(job: ScenarioJob, position: number, deployment: Deployment): JobSpec {
  const { zones } = deployment;
  const team = teamNames[job.team % teamNames.length] ?? 'red';
  const teamLimit = deployment.teams.find(({ name }) => name === team)?.maxCores ?? 0;
  return {
    id: `j-${String(position)}`,
    class: job.runS > LONG_CLASS_S ? 'long' : 'short',
    team,
    kind: job.service ? 'service' : 'batch',
    priority: job.priority,
    tasks: job.service ? serviceTasks(job, teamLimit) : job.tasks,
    cores: job.cores,
    accelerators: 0,
    ramGb: job.cores * 2,
    image: `img-${String(position % 5)}`,
    imageGb: 0.5 + (position % 3),
    types: job.rule === 'a type' ? ['large'] : null,
    zone: job.rule === 'a zone' ? (zones[position % zones.length] ?? null) : null,
    oneZone: job.rule === 'one zone',
    // With only one zone, half of the tasks of a spread job could never run.
    spread: job.rule === 'spread' && zones.length > 1,
    spot: job.spot,
    estimateS: job.service ? 0 : job.runS,
    checkpointS: job.checkpoint ? 3 : 0,
    saveS: job.checkpoint ? 1 : 0,
    deadlineS: job.priority < 2 ? job.runS * 3 + 20 : null,
  };
}

/** The number of a service's tasks. All of them run at the same time, so they must fit the team's quota. */
function serviceTasks(job: ScenarioJob, teamLimit: number): number {
  return Math.min(job.tasks, 2, teamLimit > 0 ? Math.floor(teamLimit / job.cores) : 2);
}

/**
 * Seconds that each task of the job actually runs: the estimate times a factor from 0.5 to 1.5 that `seed`
 * decides.
 */
export function taskDurations(job: ScenarioJob, seed: number): (index: number) => number {
  return (index) => job.runS * (0.5 + (seededRandom(seed + index).below(1000) + 1) / 1000);
}
