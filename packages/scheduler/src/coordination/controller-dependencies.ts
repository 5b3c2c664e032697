/** What a controller needs from its process, or from the simulation that runs it. */
import type { Settings } from '../settings.ts';
import type { Log } from '../transport/background-task.ts';
import type { Clock } from '../transport/clock.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { PeerTransport } from './peer-channel.ts';

/** The controller's settings, and the services through which it reaches other systems. */
export interface ControllerDependencies extends PeerTransport {
  readonly settings: Settings;
  /** New at every start of the process. */
  readonly incarnation: string;
  readonly clock: Clock;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly log: Log;
  readonly http: HttpClient;
  /** Ends the controller when aborted. */
  readonly signal: AbortSignal;
}
