/**
 * The serving process, which schedules callers' requests on the platform's targets and relays the responses.
 *
 * @module
 */
export * from "./partition_monitor.ts";
export { parsePeerMessage, type PeerMessage } from "./peer_messages.ts";
export type { RequestExplanation, ServiceExplanation, TargetExplanation } from "./request_explanation.ts";
export * from "./serving_metrics.ts";
export * from "./serving_process.ts";
export * from "./serving_state.ts";
export * from "./store_watcher.ts";
export * from "./stream_version_store.ts";
export { TargetCallError, TargetConnections } from "./target_connections.ts";
