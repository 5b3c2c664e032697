/**
 * The public interface of the scheduler for other packages: its controller, and the types of its inputs and
 * outputs.
 */
export type { ControllerDependencies } from './coordination/controller-dependencies.ts';
export { Controller } from './coordination/controller.ts';
export type { MachineType } from './protocol/cloud.ts';
export { httpApi } from './protocol/http-api.ts';
export type { PeerWireMessage as WireMessage } from './protocol/peer-message-codec.ts';
export type { JobSpec } from './protocol/users.ts';
export { readSettings, type Settings } from './settings.ts';
export type { Clock } from './transport/clock.ts';
export { type HttpCall, type HttpClient, type HttpResponse, NoAnswer } from './transport/http-client.ts';
export type { HttpHandler, HttpReply } from './transport/http-server.ts';
export { type Random, seededRandom } from './transport/random.ts';
export type { Log } from './transport/log.ts';
