/**
 * Placement: the choice of the target for a request, and how long its owner may queue the permit request.
 *
 * @module
 */
export * from "./choose_target.ts";
export * from "./owner_wait.ts";
