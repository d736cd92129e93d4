/**
 * Settings from command-line flags and environment variables, validated before the program opens any socket.
 *
 * @module
 */
export * from "./read_settings.ts";
export * from "./setting_types.ts";
