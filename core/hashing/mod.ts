/**
 * Hashing: rendezvous choice of owners, and content addresses.
 *
 * @module
 */
export * from "./rendezvous.ts";
