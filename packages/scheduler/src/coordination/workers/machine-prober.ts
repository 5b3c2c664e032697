/** Probes: calls without commands that ask a machine for its status. */
import {
  COMMAND_DEADLINE_MS,
  HEARD_BEFORE_SHARE,
  HEARD_DURING_SHARE,
  SILENT_HEARTBEATS,
} from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import type { ProbeState } from '../../storage/machine-state.ts';
import type { ShardContext, ShardState } from '../shard-context.ts';
import { type CommandSender, recordUnansweredProbe } from './command-sender.ts';

/** `unknown`: no answer came, but this node's event loop lagged, so the fault may be this node's own. */
export type ProbeOutcome = 'answered' | 'silent' | 'unknown';

/** Requests the status of machines, and decides whether a missing answer counts against the machine. */
export class MachineProber {
  constructor(
    private readonly context: ShardContext,
    private readonly shard: ShardState,
    private readonly sender: CommandSender,
  ) {}

  /**
   * Probes a silent or unreachable machine. The caller must not start a second probe of the machine
   * meanwhile, see `probing`.
   */
  async probe(machine: Machine & ProbeState): Promise<void> {
    machine.probedAt = this.context.clock.now();
    machine.probing = true;
    await this.requestStatus(machine);
    machine.probing = false;
  }

  /**
   * Requests the machine's status, which also asks the machine to accept this leader. A missing answer counts
   * against the machine only if other machines of the shard were heard before the call, and also between
   * shortly before the call and its end. While the network is partitioned, or has just recovered, all
   * machines are silent.
   */
  async requestStatus(machine: Machine): Promise<ProbeOutcome> {
    const { clock, settings, laggedSince } = this.context;
    const askedAt = clock.now();
    const heardBefore = this.shareHeardSince(askedAt - settings.heartbeatIntervalMs * SILENT_HEARTBEATS);
    let outcome = await this.sender.send(machine, []);
    if (outcome === 'rejected' && !machine.fenced && this.shard.leadership.isActive)
      outcome = await this.sender.send(machine, []);
    if (outcome !== 'unknown') return 'answered';
    if (laggedSince(askedAt)) return 'unknown';
    // This period begins shortly before the call. A partition that began only at the call does not explain
    // the machine's silence, because the machine was already silent for long enough to be probed.
    const heardDuring = this.shareHeardSince(askedAt - COMMAND_DEADLINE_MS);
    if (heardBefore >= HEARD_BEFORE_SHARE && heardDuring >= HEARD_DURING_SHARE)
      recordUnansweredProbe(machine);
    return 'silent';
  }

  /** The share of the shard's machines that are fenced and have been heard since the given time. */
  private shareHeardSince(time: number): number {
    let heard = 0;
    for (const machine of this.shard.machines.values())
      if (machine.fenced && machine.lastContactAt > time) heard++;
    return heard / this.shard.machines.size;
  }
}
