/**
 * Decisions of the serving process, without input or output: routing, target selection, limits and moves of
 * generations.
 *
 * @module
 */
export * from "./attempt_end.ts";
export * from "./client_limits.ts";
export * from "./configuration_broadcast.ts";
export * from "./digest_rate_limiter.ts";
export * from "./digest_relays.ts";
export * from "./engine_speeds.ts";
export * from "./evacuated_zones.ts";
export * from "./event_splitter.ts";
export * from "./instance_turns.ts";
export * from "./load_tracker.ts";
export * from "./move_action.ts";
export * from "./paced_selection.ts";
export type { PartAttempt } from "./part_attempts.ts";
export * from "./plan_moves.ts";
export * from "./prefix_cache.ts";
export * from "./queue_admission.ts";
export * from "./recent_sends.ts";
export * from "./refused_callers.ts";
export * from "./request_quarantine.ts";
export * from "./response_end.ts";
export * from "./rollout_evidence.ts";
export * from "./rollout_exposure.ts";
export * from "./rollout_plan.ts";
export * from "./rollout_types.ts";
export * from "./rollouts.ts";
export * from "./room_estimate.ts";
export * from "./route_table.ts";
export * from "./service_admission.ts";
export * from "./service_shares.ts";
export * from "./serving_types.ts";
export * from "./shared_limits.ts";
export * from "./shutdown_admission.ts";
export * from "./software_versions.ts";
export * from "./stall_action.ts";
export * from "./store_position.ts";
export * from "./stream_limits.ts";
export * from "./stream_progress.ts";
export * from "./target_backpressure.ts";
export * from "./target_directory.ts";
export * from "./target_health.ts";
export * from "./target_pace.ts";
export * from "./target_presence.ts";
export * from "./target_rate_limits.ts";
export * from "./target_reachability.ts";
export * from "./target_refusal_limits.ts";
export * from "./target_selection.ts";
export * from "./time_window.ts";
export * from "./unsettled_ends.ts";
export * from "./waiting_line.ts";
export * from "./watcher_election.ts";
