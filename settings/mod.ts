/**
 * Settings from flags and environment variables, checked before anything opens.
 *
 * @module
 */
export * from "./read_settings.ts";
export * from "./setting_types.ts";
