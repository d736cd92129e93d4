/**
 * Hashing of texts, and rendezvous hashing for the assignment of keys to owners.
 *
 * @module
 */
export * from "./rendezvous.ts";
