/**
 * Placement: which target a piece of work is sent to.
 *
 * @module
 */
export * from "./choose_target.ts";
export * from "./owner_wait.ts";
