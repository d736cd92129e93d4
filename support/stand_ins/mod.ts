/**
 * Stand-ins (test doubles) for the platform's store, model engines and plain services.
 *
 * @module
 */
export * from "./engine_core.ts";
export * from "./engine_stand_in.ts";
export * from "./platform_store.ts";
export * from "./service_stand_in.ts";
export * from "./stand_in_server.ts";
