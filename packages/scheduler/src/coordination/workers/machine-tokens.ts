/**
 * The fencing token that each machine is shown (docs/design.md, "Fencing tokens" and "Launches"). A machine
 * refuses every call with a token lower than the highest one that it has accepted.
 */
import type { ExactInteger } from '../../protocol/json.ts';
import type { FencingTokens } from '../../storage/fencing-tokens.ts';
import type { Machine } from '../../storage/machine.ts';
import type { TokenState } from '../../storage/machine-state.ts';

/** Raises the machines' tokens, so that calls sent earlier, and copies of them, are refused. */
export class MachineTokens {
  /** How often a machine's token was raised. */
  raisedCount = 0;

  constructor(private readonly tokens: FencingTokens) {}

  /** Whether the token belongs to this leadership: the machine has accepted this leader. */
  isOwn(token: ExactInteger): boolean {
    return token >= this.tokens.first && token <= this.tokens.last;
  }

  /** Whether the token belongs to an earlier leadership, or is the 0 of a machine that has seen none. */
  isEarlier(token: ExactInteger): boolean {
    return token < this.tokens.first;
  }

  /** Whether the token belongs to a later leadership: this leader is superseded. */
  isLater(token: ExactInteger): boolean {
    return token > this.tokens.last;
  }

  /** Whether a call with a launch was sent under the machine's present token: a copy may still be executed. */
  mayExecuteCopy(machine: Machine): boolean {
    return machine.launchCallToken === machine.fencingToken;
  }

  /** Whether the machine's token can be raised. If not, a launch must not be sent by a call. */
  canRaise(machine: Machine): boolean {
    return machine.fencingToken < this.tokens.last;
  }

  /** Records that a call with a launch is sent to the machine now. */
  recordLaunchCall(machine: Machine & TokenState): void {
    machine.launchCallToken = machine.fencingToken;
  }

  /**
   * Raises the token of everything that is sent to the machine from now on. A reply or a call that is still on
   * its way under the lower token is refused if it arrives later.
   */
  raise(machine: Machine & TokenState): void {
    machine.fencingToken++;
    this.raisedCount++;
  }

  /**
   * The machine has reported this token. Calls with launches may have been sent under one that is not known
   * here, unless it is the last one, under which none is sent.
   */
  observe(machine: Machine & TokenState, token: ExactInteger): void {
    if (typeof token !== 'number' || !this.isOwn(token) || token <= machine.fencingToken) return;
    machine.fencingToken = token;
    machine.launchCallToken = Math.min(token, this.tokens.last - 1);
  }
}
