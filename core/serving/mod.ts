/**
 * Decisions of the serving process, without input or output: routing, target selection, limits and moves of
 * generations.
 *
 * @module
 */
export * from "./attempt_end.ts";
export * from "./configuration_broadcast.ts";
export * from "./digest_rate_limiter.ts";
export * from "./evacuated_zones.ts";
export * from "./event_splitter.ts";
export * from "./instance_turns.ts";
export * from "./load_tracker.ts";
export * from "./move_action.ts";
export * from "./plan_moves.ts";
export * from "./prefix_cache.ts";
export * from "./queue_admission.ts";
export * from "./recent_sends.ts";
export * from "./request_quarantine.ts";
export * from "./response_end.ts";
export * from "./route_table.ts";
export * from "./serving_types.ts";
export * from "./shared_limits.ts";
export * from "./shutdown_admission.ts";
export * from "./software_versions.ts";
export * from "./stall_action.ts";
export * from "./store_position.ts";
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
export * from "./watcher_election.ts";
