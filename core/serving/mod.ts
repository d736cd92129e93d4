/**
 * Decisions of the serving process, without input or output: routing, target selection, limits and moves of
 * generations.
 *
 * @module
 */
export * from "./choose_place.ts";
export * from "./configuration_news.ts";
export * from "./decide_silence.ts";
export * from "./decide_stop.ts";
export * from "./decide_wait.ts";
export * from "./digest_pace.ts";
export * from "./event_splitter.ts";
export * from "./load_ledger.ts";
export * from "./move_action.ts";
export * from "./plan_departure.ts";
export * from "./route_table.ts";
export * from "./serving_types.ts";
export * from "./shared_limits.ts";
export * from "./stream_progress.ts";
export * from "./target_directory.ts";
export * from "./target_health.ts";
export * from "./watch_duty.ts";
