/**
 * Prediction of output lengths.
 *
 * @module
 */
export * from "./length_distribution.ts";
export * from "./length_predictor.ts";
