/**
 * Small stand-ins for the platform, model engines and plain services.
 *
 * @module
 */
export * from "./engine_core.ts";
export * from "./engine_stand_in.ts";
export * from "./platform_store.ts";
export * from "./service_stand_in.ts";
export * from "./stand_in_server.ts";
